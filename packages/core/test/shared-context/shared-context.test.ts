/** Salts, the inventory of context stores, and the plan of what a request fetches and saves. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('shared context');
const { inventory, plan, salt } = core.sharedContext;

const SALT = { model: 'model-1', version: 1, isolatedAccount: undefined };
const TEXT = salt.format(SALT);

/** Plan inputs with reachable, empty stores and the remote clock at 1,000 ms. */
function planInputs(...names: readonly string[]): core.sharedContext.plan.Inputs {
  const contents = inventory.create();
  const now = fixtures.anInstant();
  names.forEach((name) =>
    inventory.applyUpdate(
      contents,
      name,
      { kind: 'listing', epoch: 1, clockMs: 1_000, changes: [] },
      now,
    ),
  );
  return { inventory: contents, stores: names.map((name) => fixtures.aContextStore(name)), now };
}

function applyChanges(
  { inventory: contents, now }: core.sharedContext.plan.Inputs,
  store: string,
  changes: readonly core.sharedContext.inventory.PartChange[],
  epoch = 1,
): void {
  inventory.applyUpdate(
    contents,
    store,
    { kind: 'changes', epoch, clockMs: undefined, changes },
    now,
  );
}

const COMPLETE = { kind: 'complete' as const, salt: TEXT, id: 'p0', tokens: 1_000 };
const PROMPT = fixtures.aPrompt('p0', 'p1', 'own');

suite('two salts are equal only for the same model, version and isolated account', () => {
  const one = fastCheck.record({
    model: fastCheck.string({ minLength: 1 }),
    version: fastCheck.nat(),
    isolatedAccount: fastCheck.option(fastCheck.string({ minLength: 1 }), { nil: undefined }),
  });
  fastCheck.assert(
    fastCheck.property(one, one, (a, b) => {
      assert.equal(salt.parse(salt.format(a)), { ...a });
      const isSame = JSON.stringify(a) === JSON.stringify(b);
      assert.is(salt.format(a) === salt.format(b), isSame);
    }),
    fixtures.seeded(1_000),
  );
});

suite('a salt of another writer is not parsed', () => {
  ['', 's1', 'mw', 'mw/m', 'mw/m/x', '%', 'mw/%/1'].forEach((text) =>
    assert.is(salt.parse(text), undefined, text),
  );
});

suite('a part is saved to its store, and fetched from there once reported complete', () => {
  const inputs = planInputs('a', 'b');
  const first = plan.create(inputs, PROMPT, SALT);
  const target = first.saveTo[0]?.split(':')[0] ?? '';
  assert.equal(first.fetchFrom, [undefined, undefined, undefined]);
  applyChanges(inputs, target, [COMPLETE]);
  const next = plan.create(inputs, PROMPT, SALT);
  assert.is(next.fetchFrom[0], `${target}:1`);
  assert.is(next.saveTo[0], undefined);
});

suite('the last part, which belongs to one request, is neither saved nor fetched', () => {
  const { saveTo, fetchFrom } = plan.create(planInputs('a'), PROMPT, SALT);
  assert.is(saveTo.length, 3);
  assert.is(saveTo[2], undefined);
  assert.is(fetchFrom[2], undefined);
});

suite('nothing is fetched from a store that has restarted, since its parts are lost', () => {
  const inputs = planInputs('a');
  applyChanges(inputs, 'a', [COMPLETE]);
  applyChanges(inputs, 'a', [], 2);
  assert.is(plan.create(inputs, PROMPT, SALT).fetchFrom[0], undefined);
});

suite('an unreachable store is neither fetched from nor saved to', () => {
  const inputs = planInputs('a');
  applyChanges(inputs, 'a', [COMPLETE]);
  inventory.applyUpdate(inputs.inventory, 'a', { kind: 'unreachable' }, inputs.now);
  const { fetchFrom, saveTo } = plan.create(inputs, PROMPT, SALT);
  assert.ok([...fetchFrom, ...saveTo].every((each) => each === undefined));
});

suite('without the remote clock nothing is fetched, since no fetch could be bounded', () => {
  const inputs = { ...planInputs('a'), inventory: inventory.create() };
  applyChanges(inputs, 'a', [COMPLETE]);
  assert.is(plan.create(inputs, PROMPT, SALT).fetchFrom[0], undefined);
});

suite('all instances choose the same store for a part, in proportion to capacity', () => {
  const targets = Array.from({ length: 400 }, (_, at) => {
    const prompt = fixtures.aPrompt(`part-${at}`, 'own');
    const stores = [fixtures.aContextStore('a', 100_000), fixtures.aContextStore('b', 300_000)];
    return [0, 1].map(
      () => plan.create({ ...planInputs('a', 'b'), stores }, prompt, SALT).saveTo[0],
    );
  });
  assert.ok(targets.every(([one, two]) => one === two && one !== undefined));
  const large = targets.filter(([one]) => one === 'b:1').length;
  assert.ok(large > 400 * 0.65 && large < 400 * 0.85, `${large} of 400`);
});

suite('no save is planned beyond the capacity of a store', () => {
  const inputs = { ...planInputs('a'), stores: [fixtures.aContextStore('a', 10_000)] };
  const saves = Array.from({ length: 30 }, (_, at) =>
    plan.create(inputs, fixtures.aPrompt(`part-${at}`, 'own'), SALT),
  ).filter(({ saveTo }) => saveTo[0] !== undefined);
  assert.ok(saves.length <= 10, `${saves.length} parts of 1,000 tokens`);
});

suite.run();
