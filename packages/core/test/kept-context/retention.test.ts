// Guards against exports that evict more valuable pieces, exceed a store, or leave a stored chain
// without its start, which makes the rest of the chain useless.
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const { retention, reuse, directory } = core.keptContext;
const suite = uvu.suite('retention');

const PIECE_BYTES = 64;
const HOUR_MS = 3_600_000;

/** Inputs with stores that have room for a few pieces on disk and none in memory. */
function someInputs(
  given: { diskPieces?: number; stores?: number } = {},
): core.keptContext.retention.Inputs {
  const { diskPieces = 4, stores = 1 } = given;
  return {
    stores: Array.from({ length: stores }, (_, at) =>
      fixtures.aStore({
        name: `store-${at + 1}`,
        memoryBytes: 1,
        diskBytes: diskPieces * PIECE_BYTES * 1.1,
      }),
    ),
    directory: directory.create(),
    reuseHistory: reuse.create(),
    pieceBytes: PIECE_BYTES,
    nowMs: 20 * HOUR_MS,
  };
}

function recordUse(
  inputs: core.keptContext.retention.Inputs,
  clientAccount: string,
  pieces: readonly string[],
  atMs: number,
): void {
  reuse.recordUse(inputs.reuseHistory, { clientAccount, service: 'briefing', pieces }, atMs);
}

/** Records 20 hours of uses: `loyal` reuses a piece each hour, `fleeting` never reuses one. */
function recordPastUses(inputs: core.keptContext.retention.Inputs): void {
  for (let hour = 0; hour < 20; hour += 1) {
    recordUse(inputs, 'loyal', ['learned/0'], hour * HOUR_MS);
    recordUse(inputs, 'fleeting', [`once-${hour}/0`], hour * HOUR_MS);
  }
}

function store(
  inputs: core.keptContext.retention.Inputs,
  pieces: readonly string[],
  name = 'store-1',
): void {
  const index = directory.ensureStoreIndex(inputs.directory, name);
  pieces.forEach((piece) => {
    const sequence = index.sequence + 1;
    const manifest = fixtures.aManifest({ piece, store: name, tier: 'disk' });
    directory.applyStoreReport(inputs.directory, name, { kind: 'committed', sequence, manifest });
  });
}

const evictedOf = (plans: readonly core.keptContext.retention.StorePlan[]) =>
  plans.flatMap(({ evicted }) => evicted.map(({ piece }) => piece));
const keptOf = (plans: readonly core.keptContext.retention.StorePlan[]) =>
  plans.flatMap(({ pieces }) => pieces);

suite('a piece that is likely to be reused has the higher hit density', () => {
  const inputs = someInputs();
  recordPastUses(inputs);
  recordUse(inputs, 'loyal', ['l/0'], inputs.nowMs);
  recordUse(inputs, 'fleeting', ['f/0'], inputs.nowMs);
  const density = (piece: string) =>
    reuse.estimateHitDensity(inputs.reuseHistory, piece, inputs.nowMs);
  assert.ok(density('l/0') > 2 * density('f/0'));
});

suite('a full store evicts pieces unlikely to be reused, from the end of their chain', () => {
  const inputs = someInputs();
  recordPastUses(inputs);
  recordUse(inputs, 'fleeting', fixtures.pieceNames('f', 4), inputs.nowMs);
  store(inputs, fixtures.pieceNames('f', 4));
  recordUse(inputs, 'loyal', fixtures.pieceNames('l', 2), inputs.nowMs);
  const plans = retention.plan(inputs, 'dc-1', fixtures.pieceNames('l', 2));
  assert.equal(keptOf(plans), ['l/0', 'l/1']);
  assert.equal(evictedOf(plans), ['f/3', 'f/2']);
});

suite('a piece unlikely to be reused does not evict a more valuable one', () => {
  const inputs = someInputs();
  recordPastUses(inputs);
  recordUse(inputs, 'loyal', fixtures.pieceNames('l', 4), inputs.nowMs);
  store(inputs, fixtures.pieceNames('l', 4));
  recordUse(inputs, 'fleeting', fixtures.pieceNames('f', 2), inputs.nowMs);
  assert.equal(retention.plan(inputs, 'dc-1', fixtures.pieceNames('f', 2)), []);
});

suite('a chain goes to the store that has its start, and never to a silent store', () => {
  const inputs = someInputs({ stores: 2, diskPieces: 40 });
  store(inputs, ['a/0', 'a/1'], 'store-2');
  recordUse(inputs, 'loyal', fixtures.pieceNames('a', 4), inputs.nowMs);
  const [first] = retention.plan(inputs, 'dc-1', fixtures.pieceNames('a', 4));
  assert.is(first?.store.name, 'store-2');
  directory.applyStoreReport(inputs.directory, 'store-2', { kind: 'silent' });
  const stores = retention
    .plan(inputs, 'dc-1', fixtures.pieceNames('a', 4))
    .map(({ store: { name } }) => name);
  assert.equal(stores, ['store-1']);
});

suite('free room is used for a second copy', () => {
  const inputs = someInputs({ stores: 2, diskPieces: 40 });
  recordUse(inputs, 'loyal', ['a/0'], inputs.nowMs);
  const names = retention.plan(inputs, 'dc-1', ['a/0']).map(({ store: { name } }) => name);
  assert.equal([...names].sort(), ['store-1', 'store-2']);
});

suite('a store is never exceeded, and no stored chain loses its start before its end', () => {
  const chain = fastCheck.record({
    account: fastCheck.constantFrom('loyal', 'fleeting'),
    name: fastCheck.nat(5),
    length: fastCheck.integer({ min: 1, max: 5 }),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(chain, { maxLength: 25 }), (chains) => {
      const inputs = someInputs({ diskPieces: 8 });
      recordPastUses(inputs);
      chains.forEach(({ account, name, length }, at) => {
        const nowMs = inputs.nowMs + at * 60_000;
        const pieces = fixtures.pieceNames(`${account}-${name}`, length);
        recordUse(inputs, account, pieces, nowMs);
        store(inputs, keptOf(retention.plan({ ...inputs, nowMs }, 'dc-1', pieces)));
        const { manifests } = directory.ensureStoreIndex(inputs.directory, 'store-1');
        assert.ok(manifests.size <= 8);
        [...manifests.keys()].forEach((piece) => {
          const parent = inputs.reuseHistory.byPiece.get(piece)?.parent ?? '';
          assert.ok(parent === '' || manifests.has(parent), `${piece} without ${parent}`);
        });
      });
    }),
    fixtures.seeded(300),
  );
});

suite.run();
