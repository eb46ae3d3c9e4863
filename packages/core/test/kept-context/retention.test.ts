import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const { retention, reuse, directory } = core.keptContext;
const suite = uvu.suite('keep decision');

const PIECE_BYTES = 64;
const HOUR_MS = 3_600_000;

/** One store of a few pieces on disk, and callers of which `loyal` return each hour. */
function someViews(
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

function visit(
  views: core.keptContext.retention.Inputs,
  clientAccount: string,
  pieces: readonly string[],
  atMs: number,
): void {
  reuse.recordUse(views.reuseHistory, { clientAccount, service: 'briefing', pieces }, atMs);
}

/** `loyal` has returned each hour; of `fleeting`, nobody ever did. */
function learn(views: core.keptContext.retention.Inputs): void {
  for (let hour = 0; hour < 20; hour += 1) {
    visit(views, 'loyal', ['learned/0'], hour * HOUR_MS);
    visit(views, 'fleeting', [`once-${hour}/0`], hour * HOUR_MS);
  }
}

function store(
  views: core.keptContext.retention.Inputs,
  pieces: readonly string[],
  name = 'store-1',
): void {
  const index = directory.ensureStoreIndex(views.directory, name);
  pieces.forEach((piece) => {
    const sequence = index.sequence + 1;
    const manifest = fixtures.aManifest({ piece, store: name, tier: 'disk' });
    directory.applyStoreReport(views.directory, name, { kind: 'committed', sequence, manifest });
  });
}

const evictedOf = (found: readonly core.keptContext.retention.StorePlan[]) =>
  found.flatMap(({ evicted }) => evicted.map(({ piece }) => piece));
const keptOf = (found: readonly core.keptContext.retention.StorePlan[]) =>
  found.flatMap(({ pieces }) => pieces);

suite('a piece that will return is worth more than one that will not', () => {
  const views = someViews();
  learn(views);
  visit(views, 'loyal', ['l/0'], views.nowMs);
  visit(views, 'fleeting', ['f/0'], views.nowMs);
  const density = (piece: string) =>
    reuse.estimateHitDensity(views.reuseHistory, piece, views.nowMs);
  assert.ok(density('l/0') > 2 * density('f/0'));
});

suite('a full store gives up what will not return, from the end of its chain', () => {
  const views = someViews();
  learn(views);
  visit(views, 'fleeting', fixtures.pieceNames('f', 4), views.nowMs);
  store(views, fixtures.pieceNames('f', 4));
  visit(views, 'loyal', fixtures.pieceNames('l', 2), views.nowMs);
  const found = retention.plan(views, 'dc-1', fixtures.pieceNames('l', 2));
  assert.equal(keptOf(found), ['l/0', 'l/1']);
  assert.equal(evictedOf(found), ['f/3', 'f/2']);
});

suite('what will not return does not push out what will', () => {
  const views = someViews();
  learn(views);
  visit(views, 'loyal', fixtures.pieceNames('l', 4), views.nowMs);
  store(views, fixtures.pieceNames('l', 4));
  visit(views, 'fleeting', fixtures.pieceNames('f', 2), views.nowMs);
  assert.equal(retention.plan(views, 'dc-1', fixtures.pieceNames('f', 2)), []);
});

suite('a chain goes to the store that has its start, and nothing to a silent store', () => {
  const views = someViews({ stores: 2, diskPieces: 40 });
  store(views, ['a/0', 'a/1'], 'store-2');
  visit(views, 'loyal', fixtures.pieceNames('a', 4), views.nowMs);
  const [first] = retention.plan(views, 'dc-1', fixtures.pieceNames('a', 4));
  assert.is(first?.store.name, 'store-2');
  directory.applyStoreReport(views.directory, 'store-2', { kind: 'silent' });
  const stores = retention
    .plan(views, 'dc-1', fixtures.pieceNames('a', 4))
    .map(({ store: { name } }) => name);
  assert.equal(stores, ['store-1']);
});

suite('spare room takes a second copy', () => {
  const views = someViews({ stores: 2, diskPieces: 40 });
  visit(views, 'loyal', ['a/0'], views.nowMs);
  const names = retention.plan(views, 'dc-1', ['a/0']).map(({ store: { name } }) => name);
  assert.equal([...names].sort(), ['store-1', 'store-2']);
});

suite('room is never exceeded, and no stored chain loses its start before its end', () => {
  const chain = fastCheck.record({
    account: fastCheck.constantFrom('loyal', 'fleeting'),
    name: fastCheck.nat(5),
    length: fastCheck.integer({ min: 1, max: 5 }),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(chain, { maxLength: 25 }), (chains) => {
      const views = someViews({ diskPieces: 8 });
      learn(views);
      chains.forEach(({ account, name, length }, at) => {
        const nowMs = views.nowMs + at * 60_000;
        const pieces = fixtures.pieceNames(`${account}-${name}`, length);
        visit(views, account, pieces, nowMs);
        store(views, keptOf(retention.plan({ ...views, nowMs }, 'dc-1', pieces)));
        const { manifests } = directory.ensureStoreIndex(views.directory, 'store-1');
        assert.ok(manifests.size <= 8);
        [...manifests.keys()].forEach((piece) => {
          const parent = views.reuseHistory.byPiece.get(piece)?.parent ?? '';
          assert.ok(parent === '' || manifests.has(parent), `${piece} without ${parent}`);
        });
      });
    }),
    fixtures.seeded(300),
  );
});

suite.run();
