import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as medlarctl from 'medlarctl';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('history of the configuration');

type Platform = Parameters<typeof medlarctl.change.apply>[0];
type WriteRequest = Parameters<Platform['write']>[0];

/** Enough generations for several bases. */
const GENERATIONS = 120;

function aPlatform(): Platform {
  const objects = fixtures.anObjectStore();
  const write = ({ key, expectedVersion, value, writeId }: WriteRequest) =>
    Promise.resolve(objects.write(key, expectedVersion, value, writeId));
  const read = (key: string) => Promise.resolve(objects.read(key));
  return { read, write } as unknown as Platform;
}

/** A platform on which all generations were accepted in order. */
async function aPlatformWithHistory(): Promise<Platform> {
  const platform = aPlatform();
  for (let generation = 1; generation <= GENERATIONS; generation += 1) {
    const base = await medlarctl.change.readActive(platform);
    const reason = { by: 'operator', why: `reason ${generation}` };
    const configuration = fixtures.aConfigurationOfGeneration(generation);
    if (base.isErr()) throw new Error(core.results.describe(base.error));
    const applied = await medlarctl.change.apply(platform, base.value, configuration, reason);
    assert.ok(applied.isOk());
  }
  return platform;
}

async function run(platform: Platform, name: string, ...positionals: readonly string[]) {
  const flags = { by: 'second', why: '' };
  const command = medlarctl.registry.find(name);
  if (!command) throw new Error(`no command ${name}`);
  const ask = () => Promise.resolve(undefined);
  const printLine = () => undefined;
  return command.run({
    platform,
    positionals,
    flags,
    ask,
    printLine,
    isAssumedYes: true,
  });
}

suite('history lists the last 20 changes, newest first, across bases', async () => {
  const found = await run(await aPlatformWithHistory(), 'history');
  const data = found.isOk() ? (found.value.data as { generation: number; why: string }[]) : [];
  assert.is(data.length, 20);
  assert.is(data[0]?.generation, GENERATIONS);
  assert.is(data[19]?.why, `reason ${GENERATIONS - 19}`);
});

suite('diff lists the edits between two generations', async () => {
  const platform = await aPlatformWithHistory();
  const found = await run(platform, 'diff', '3', '90');
  assert.equal(found.isOk() && found.value.data, { edits: ['put clientAccounts.alpha'] });
  const same = await run(platform, 'diff', '7', '7');
  assert.equal(same.isOk() && same.value.data, { edits: [] });
});

[1, 2, 60, GENERATIONS - 1].forEach((generation) => {
  suite(`revert to ${generation} creates a new generation with the old content`, async () => {
    const platform = await aPlatformWithHistory();
    const reverted = await run(platform, 'revert', String(generation));
    assert.equal(reverted.isOk() && reverted.value.data, { generation: GENERATIONS + 1 });
    const now = await medlarctl.change.readActive(platform);
    const expected = {
      ...fixtures.aConfigurationOfGeneration(generation),
      generation: GENERATIONS + 1,
    };
    assert.equal(now.isOk() && now.value.configuration, expected);
  });
});

suite('revert to a generation that does not exist is refused', async () => {
  const found = await run(await aPlatformWithHistory(), 'revert', '500');
  assert.is(found.isErr() && found.error.code, 'invalidInput');
});

suite.run();
