/** Guards against verdicts that operators cannot see or end, and against lifting one by mistake. */
import * as core from '@medlarweir/core';
import * as store from '@medlarweir/platform/store';
import * as standIns from '@medlarweir/stand-ins';
import * as medlarctl from 'medlarctl';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('quarantine at the command line', {
  platform: undefined as unknown as standIns.platform.Platform,
  client: undefined as unknown as store.client.Client,
});

suite.before.each(async (context) => {
  context.platform = await standIns.platform.start();
  context.client = store.client.create(context.platform.address);
});
suite.after.each(async ({ platform, client }) => {
  await client.close();
  await platform.close();
});

function aVerdict(part: string, clientAccounts = ['account-1']): core.quarantine.Verdict {
  const crashes = [{ upstream: 'u-1', requestId: 'r-1' }];
  const evidence = { clientAccounts, crashes, condemnedAtMs: 0, trials: 0 };
  return { model: 'model-1', part, companions: [], ...evidence };
}

/** Writes an entry as an instance does. */
async function storeEntry(client: store.client.Client, name: string, value: unknown) {
  const key = `medlarweir-quarantine/${name}`;
  const written = await client.write({ key, expectedVersion: 0, value, writeId: 'w' });
  assert.is(written.kind, 'written');
}

function storeVerdict(client: store.client.Client, verdict: core.quarantine.Verdict) {
  const name = core.quarantine.objectName(verdict.model, verdict.part);
  return storeEntry(client, name, verdict);
}

/** One after the other: hundreds of connections at once take a busy machine longer than a call may. */
async function storeVerdicts(
  client: store.client.Client,
  verdicts: readonly core.quarantine.Verdict[],
): Promise<void> {
  await verdicts.reduce(async (before, verdict) => {
    await before;
    await storeVerdict(client, verdict);
  }, Promise.resolve());
}

function run(
  platform: store.client.Client,
  positionals: readonly string[],
  reply: string | undefined = undefined,
) {
  const command = medlarctl.registry.find('quarantine');
  if (!command) throw new Error('no command quarantine');
  return command.run({
    ...{ platform, positionals, flags: {}, isAssumedYes: false },
    ask: () => Promise.resolve(reply),
    printLine: () => undefined,
  });
}

async function listedParts(client: store.client.Client): Promise<readonly string[]> {
  const found = await run(client, ['list']);
  const data = found.isOk() ? (found.value.data as core.quarantine.Verdict[]) : [];
  return data.map(({ part }) => part);
}

suite('list shows verdicts in force with their evidence, beyond one page', async ({ client }) => {
  const parts = Array.from({ length: 501 }, (_, at) => `part-${at}`);
  await storeVerdicts(
    client,
    parts.map((part) => aVerdict(part)),
  );
  await storeVerdict(client, aVerdict('lifted', []));
  await storeEntry(client, 'malformed', { model: 1 });
  assert.equal([...(await listedParts(client))].sort(), [...parts].sort());
  const text = (await run(client, ['list'])).map((output) => output.text).unwrapOr('');
  assert.match(text, /model-1 +part-0 +1970-01-01T00:00:00.000Z +0 +account-1 +u-1 \(r-1\)/);
});

suite('an empty list says so', async ({ client }) => {
  const found = await run(client, ['list']);
  assert.is(found.map(({ text }) => text).unwrapOr(''), 'parts in quarantine: none');
});

suite('lift removes the verdict after the operator agreed', async ({ client }) => {
  await storeVerdict(client, aVerdict('a1'));
  await storeVerdict(client, aVerdict('b2'));
  const declined = await run(client, ['lift', 'model-1', 'a1'], 'no');
  assert.is(declined.isErr() && declined.error.code, 'declined');
  assert.equal([...(await listedParts(client))].sort(), ['a1', 'b2']);
  const lifted = await run(client, ['lift', 'model-1', 'a1'], 'yes');
  assert.ok(lifted.isOk());
  assert.equal(await listedParts(client), ['b2']);
});

suite('lift of a part without a verdict, and wrong use, change nothing', async ({ client }) => {
  await storeVerdict(client, aVerdict('a1'));
  const codes = await Promise.all(
    [['lift', 'model-1', 'c3'], ['lift', 'model-1'], [], ['drop']].map(async (positionals) => {
      const found = await run(client, positionals, 'yes');
      return found.isErr() && found.error.code;
    }),
  );
  assert.equal(codes, ['invalidInput', 'wrongUse', 'wrongUse', 'wrongUse']);
  assert.equal(await listedParts(client), ['a1']);
});

suite('a platform that is away is reported as such', async ({ platform, client }) => {
  await platform.close();
  const found = await run(client, ['list']);
  assert.is(found.isErr() && found.error.code, 'platformUnavailable');
});

suite.run();
