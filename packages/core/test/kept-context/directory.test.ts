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
    fault: 'a restarted store counts its events from the beginning',
    reports: [committed(1, 'a'), committed(2, 'b'), committed(1, 'a', 'store-b')],
    expected: ['a'],
  },
  {
    fault: 'the reports break off: nothing is imported meanwhile',
    reports: [committed(1, 'a'), { kind: 'silent' }],
    expected: [],
  },
  {
    fault: 'the reports come back and the store lost nothing',
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
    fault: 'an event is doubled after the piece was dropped',
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

suite('a short silence of a store does not lose what is known of it', () => {
  const state = directory.create();
  directory.applyStoreReport(state, 'store-1', committed(1, 'a'));
  directory.applyStoreReport(state, 'store-1', { kind: 'silent' });
  assert.is(state.stores.get('store-1')?.manifests.size, 1);
});

/** What happens to one event on its way to the reader. */
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

suite('lost, doubled and reordered events: a gap is noticed, and a snapshot mends it', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.array(change, { minLength: 1, maxLength: 30 }), (changes) => {
      const state = directory.create();
      const truth = new Set<string>();
      const apply = (kind: string, piece: string) =>
        kind === 'piece-cached' ? truth.add(piece) : truth.delete(piece);
      changes.forEach(({ kind, piece }) => apply(kind, piece));
      const applied = deliveredOf(changes).map((report) =>
        directory.applyEngineReport(state, 'engine-1', report),
      );
      const isComplete = changes.every(({ fate: what }) => what === 'delivered');
      if (isComplete) assert.ok(!applied.includes('gap'));
      if (applied.includes('gap')) {
        const pieces = [...truth];
        const snapshot = { kind: 'snapshot', sequence: changes.length, pieces } as const;
        directory.applyEngineReport(state, 'engine-1', snapshot);
      }
      const lastIsLost = deliveredOf(changes).at(-1)?.sequence !== changes.length;
      if (!lastIsLost || applied.includes('gap')) {
        assert.equal(new Set(state.engines.get('engine-1')?.pieces), truth);
      }
    }),
    fixtures.seeded(500),
  );
});

suite('the hint of one engine is bounded, and its oldest pieces leave first', () => {
  const state = directory.create();
  const most = directory.MAX_PIECES_PER_ENGINE;
  fixtures.pieceNames('a', most + 5).forEach((piece, at) => {
    directory.applyEngineReport(state, 'engine-1', {
      kind: 'piece-cached',
      sequence: at + 1,
      piece,
    });
  });
  assert.is(state.engines.get('engine-1')?.pieces.size, most);
  assert.is(state.holders.size, most);
  assert.not.ok(state.holders.has('a/0'));
});

suite('an engine that reuses less than was promised has its hint fetched anew', () => {
  const state = directory.create();
  const correct = () => directory.applyReuse(state, 'engine-1', ['a', 'b'], 2, 0);
  assert.equal([correct(), correct(), correct()], ['applied', 'applied', 'gap']);
});

suite('what is no longer configured is forgotten', () => {
  const state = directory.create();
  directory.applyEngineReport(state, 'engine-1', { kind: 'piece-cached', sequence: 1, piece: 'a' });
  directory.applyStoreReport(state, 'store-1', committed(1, 'a'));
  directory.retain(state, new Set(), new Set());
  assert.is(state.engines.size + state.stores.size + state.holders.size, 0);
});

suite.run();
