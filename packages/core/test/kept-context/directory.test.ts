// Guards against a directory that differs from what engines and stores hold. It does so when events
// are lost, duplicated or reordered, when a store restarts, or when an engine evicts unreported.
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const { directory } = core.keptContext;
const suite = uvu.suite('directory');

type StoreReport = core.messages.StoreReport;

function committed(sequence: number, piece: string, storeIncarnation = 'store-a'): StoreReport {
  return {
    kind: 'committed',
    sequence,
    manifest: fixtures.aManifest({ piece, storeIncarnation }),
  };
}

function stored(of: core.keptContext.directory.Directory, pieces: readonly string[]) {
  return directory.findStoredRun(of, 'store-1', pieces, 0).map(({ piece }) => piece);
}

const STORE_FAULTS: readonly {
  fault: string;
  reports: readonly StoreReport[];
  expected: readonly string[];
}[] = [
  {
    fault: 'after a store restarts, events are numbered from the start and old pieces are dropped',
    reports: [committed(1, 'a'), committed(2, 'b'), committed(1, 'a', 'store-b')],
    expected: ['a'],
  },
  {
    fault: 'while the reports of a store are interrupted, nothing is imported from it',
    reports: [committed(1, 'a'), { kind: 'silent' }],
    expected: [],
  },
  {
    fault: 'a snapshot after an interruption makes the pieces importable again',
    reports: [
      committed(1, 'a'),
      { kind: 'silent' },
      {
        kind: 'snapshot',
        sequence: 1,
        storeIncarnation: 'store-a',
        manifests: [fixtures.aManifest({ piece: 'a' })],
      },
    ],
    expected: ['a'],
  },
  {
    fault: 'a duplicate commit after the piece was dropped is ignored',
    reports: [committed(1, 'a'), { kind: 'dropped', sequence: 2, piece: 'a' }, committed(1, 'a')],
    expected: [],
  },
];

STORE_FAULTS.forEach(({ fault, reports, expected }) => {
  suite(fault, () => {
    const state = directory.create();
    reports.forEach((report) => directory.applyStoreReport(state, 'store-1', report));
    assert.equal(stored(state, ['a', 'b']), expected);
  });
});

suite('the manifests of a silent store are kept', () => {
  const state = directory.create();
  directory.applyStoreReport(state, 'store-1', committed(1, 'a'));
  directory.applyStoreReport(state, 'store-1', { kind: 'silent' });
  assert.is(state.stores.get('store-1')?.manifests.size, 1);
});

/** Delivery fault of one event on its way to the directory. */
const fate = fastCheck.constantFrom('delivered', 'lost', 'doubled', 'swapped');
const change = fastCheck.record({
  kind: fastCheck.constantFrom('piece-cached', 'piece-evicted'),
  piece: fastCheck.constantFrom('a', 'b', 'c', 'd'),
  fate,
});
type Change = { kind: 'piece-cached' | 'piece-evicted'; piece: string; fate: string };

function deliveredOf(changes: readonly Change[]) {
  const delivered = changes.flatMap(({ fate: what, kind, piece }, at) => {
    const report = { kind, piece, sequence: at + 1 };
    if (what === 'lost') return [];
    return what === 'doubled' ? [report, report] : [report];
  });
  changes.forEach(({ fate: what }, at) => {
    const { [at]: first, [at + 1]: second } = delivered;
    if (what === 'swapped' && first && second) delivered.splice(at, 2, second, first);
  });
  return delivered;
}

suite('lost, duplicated and reordered events show as a gap, and a snapshot corrects it', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.array(change, { minLength: 1, maxLength: 30 }), (changes) => {
      const state = directory.create();
      const cachedPieces = new Set<string>();
      const apply = (kind: string, piece: string) =>
        kind === 'piece-cached' ? cachedPieces.add(piece) : cachedPieces.delete(piece);
      changes.forEach(({ kind, piece }) => apply(kind, piece));
      const applied = deliveredOf(changes).map((report) =>
        directory.applyEngineReport(state, 'engine-1', report),
      );
      const isComplete = changes.every(({ fate: what }) => what === 'delivered');
      if (isComplete) assert.ok(!applied.includes('gap'));
      if (applied.includes('gap')) {
        const pieces = [...cachedPieces];
        const snapshot = { kind: 'snapshot', sequence: changes.length, pieces } as const;
        directory.applyEngineReport(state, 'engine-1', snapshot);
      }
      const lastIsLost = deliveredOf(changes).at(-1)?.sequence !== changes.length;
      if (!lastIsLost || applied.includes('gap')) {
        assert.equal(new Set(state.engines.get('engine-1')?.pieces), cachedPieces);
      }
    }),
    fixtures.seeded(500),
  );
});

suite('the pieces of one engine are bounded, and the oldest are evicted first', () => {
  const state = directory.create();
  const maxPieces = directory.MAX_PIECES_PER_ENGINE;
  fixtures.pieceNames('a', maxPieces + 5).forEach((piece, at) => {
    directory.applyEngineReport(state, 'engine-1', {
      kind: 'piece-cached',
      sequence: at + 1,
      piece,
    });
  });
  assert.is(state.engines.get('engine-1')?.pieces.size, maxPieces);
  assert.is(state.holders.size, maxPieces);
  assert.not.ok(state.holders.has('a/0'));
});

suite('the third run that reuses less than predicted requests a new snapshot', () => {
  const state = directory.create();
  const applyMisprediction = () => directory.applyReuse(state, 'engine-1', ['a', 'b'], 2, 0);
  assert.equal(
    [applyMisprediction(), applyMisprediction(), applyMisprediction()],
    ['applied', 'applied', 'gap'],
  );
});

suite('engines and stores that are no longer configured are removed', () => {
  const state = directory.create();
  directory.applyEngineReport(state, 'engine-1', { kind: 'piece-cached', sequence: 1, piece: 'a' });
  directory.applyStoreReport(state, 'store-1', committed(1, 'a'));
  directory.retain(state, new Set(), new Set());
  assert.is(state.engines.size + state.stores.size + state.holders.size, 0);
});

suite.run();
