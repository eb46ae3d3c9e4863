import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('origins of streams');

const ONE_SECOND_MS = 1_000;
/** Least time between two writes of one instance. */
const WRITE_INTERVAL_MS = 50;
/** By when an ask is answered, whatever the store does. */
const ANSWERED_MS = 1_300;

function known(version: string, evidence: core.streamOrigins.Evidence): core.streamOrigins.Origin {
  return { kind: 'known', version, evidence };
}

function unknown(gap: core.streamOrigins.Gap): core.streamOrigins.Origin {
  return { kind: 'unknown', gap };
}

function aWorldOf(versions: readonly string[]) {
  const origins = fixtures.aStreamOriginsWorld(2);
  origins.release(versions);
  origins.advance(ONE_SECOND_MS);
  return origins;
}

suite('one version all along needs no write, also after a kill of all instances', () => {
  const origins = aWorldOf(['v1']);
  origins.begin(0, 'a', 'v1');
  origins.killAll();
  const found = origins.find(1, 'a');
  origins.advance(ANSWERED_MS);
  assert.equal(found.origin, known('v1', 'only-version'));
  assert.is(origins.world.writes, 0);
});

suite('the instance that began a stream knows it without the store', () => {
  const origins = aWorldOf(['v1', 'v2']);
  origins.setStoreDown(true);
  origins.begin(0, 'a', 'v2');
  assert.equal(origins.find(0, 'a').origin, known('v2', 'own'));
});

suite('a stream that was written is known everywhere, and after a kill of all instances', () => {
  const origins = aWorldOf(['v1', 'v2']);
  origins.begin(0, 'a', 'v2');
  origins.advance(100);
  const elsewhere = origins.find(1, 'a');
  origins.advance(ANSWERED_MS);
  assert.equal(elsewhere.origin, known('v2', 'recorded'));
  origins.killAll();
  const after = origins.find(1, 'a');
  origins.advance(ANSWERED_MS);
  assert.equal(after.origin, known('v2', 'recorded'));
});

/** Guards against a take-up that joins two versions since the list shows one by now. */
suite('a version that has just left still counts after a kill of all instances', () => {
  const origins = aWorldOf(['v1', 'v2']);
  origins.begin(0, 'written', 'v1');
  origins.advance(100);
  origins.release(['v2']);
  origins.killAll();
  const [written, other] = [origins.find(1, 'written'), origins.find(1, 'other')];
  origins.advance(ANSWERED_MS);
  assert.equal(written.origin, known('v1', 'recorded'));
  assert.equal(other.origin, unknown('not-recorded'));
});

suite('long after a version has left, the other is the only one, and nothing is written', () => {
  const origins = aWorldOf(['v1', 'v2']);
  origins.release(['v2']);
  origins.advance(60 * ONE_SECOND_MS);
  const { writes } = origins.world;
  origins.begin(0, 'a', 'v2');
  origins.advance(ONE_SECOND_MS);
  assert.is(origins.world.writes, writes);
  origins.killAll();
  const found = origins.find(1, 'a');
  origins.advance(ANSWERED_MS);
  assert.equal(found.origin, known('v2', 'only-version'));
});

suite('without the store, an ask is refused in time', () => {
  const origins = aWorldOf(['v1', 'v2']);
  origins.setStoreDown(true);
  const found = origins.find(1, 'a');
  origins.advance(ANSWERED_MS);
  assert.equal(found.origin, unknown('store-unavailable'));
});

suite('a list that was not confirmed for long proves no only version', () => {
  const origins = aWorldOf(['v1']);
  origins.setStoreDown(true);
  origins.advance(4 * ONE_SECOND_MS);
  const found = origins.find(1, 'a');
  origins.advance(ANSWERED_MS);
  assert.equal(found.origin, unknown('list-outdated'));
});

suite('writes of one instance are spread, however many streams begin', () => {
  const origins = aWorldOf(['v1', 'v2']);
  const { writes } = origins.world;
  Array.from({ length: 100 }).forEach((_, at) => {
    origins.begin(0, `a-${at}`, 'v1');
    origins.advance(10);
  });
  const count = origins.world.writes - writes;
  assert.ok(count <= 1 + ONE_SECOND_MS / WRITE_INTERVAL_MS, `${count} in a second`);
});

suite('an unreadable object names no stream, and the others count', () => {
  const origins = aWorldOf(['v1', 'v2']);
  origins.begin(0, 'a', 'v2');
  origins.advance(100);
  origins.world.store.set('odd', { value: { groups: 'none' }, version: 1 });
  const found = origins.find(1, 'a');
  origins.advance(ANSWERED_MS);
  assert.equal(found.origin, known('v2', 'recorded'));
});

type Action =
  | { kind: 'begin'; at: number; version: number }
  | { kind: 'find'; at: number; stream: number }
  | { kind: 'release'; versions: number }
  | { kind: 'kill-all' }
  | { kind: 'advance'; ms: number };

const LISTS = [['v1'], ['v1', 'v2'], ['v2'], ['v2', 'v3'], ['v1', 'v2', 'v3']] as const;

const ACTION: fastCheck.Arbitrary<Action> = fastCheck.oneof(
  fastCheck.record({
    kind: fastCheck.constant('begin' as const),
    at: fastCheck.nat(1),
    version: fastCheck.nat(2),
  }),
  fastCheck.record({
    kind: fastCheck.constant('find' as const),
    at: fastCheck.nat(1),
    stream: fastCheck.nat(40),
  }),
  fastCheck.record({
    kind: fastCheck.constant('release' as const),
    versions: fastCheck.nat(LISTS.length - 1),
  }),
  fastCheck.record({ kind: fastCheck.constant('kill-all' as const) }),
  fastCheck.record({
    kind: fastCheck.constant('advance' as const),
    ms: fastCheck.integer({ min: 10, max: 4_000 }),
  }),
);

/** A stream may be taken up while it can last; its record needs some ms to reach the store. */
const RECORDED_MS = 150;

/** Guards against every order of releases, kills and lookups in which a stream is joined. */
suite('random schedules: a stream is found at its own version or not at all', () => {
  fastCheck.assert(
    fastCheck.property(fastCheck.array(ACTION, { maxLength: 40 }), (actions) => {
      const origins = aWorldOf(['v1']);
      const began: { stream: string; version: string; endsAtMs: number }[] = [];
      const asked: { answer: ReturnType<typeof origins.find>; version: string }[] = [];
      actions.forEach((action) => {
        switch (action.kind) {
          case 'begin': {
            const { versions, nowMs } = origins.world;
            const version = versions[action.version % versions.length] ?? 'v1';
            if (!origins.mayBegin(action.at, version)) return;
            const stream = `s-${began.length}`;
            origins.begin(action.at, stream, version);
            began.push({ stream, version, endsAtMs: nowMs + fixtures.LONGEST_STREAM_MS });
            origins.advance(RECORDED_MS);
            return;
          }
          case 'find': {
            const found = began[action.stream % Math.max(1, began.length)];
            if (!found || found.endsAtMs < origins.world.nowMs) return;
            asked.push({ answer: origins.find(action.at, found.stream), version: found.version });
            return;
          }
          case 'release':
            origins.release(LISTS[action.versions] ?? ['v1']);
            origins.advance(RECORDED_MS);
            return;
          case 'kill-all':
            origins.killAll();
            return;
          case 'advance':
            origins.advance(action.ms);
            return;
          default:
            core.results.assertNever(action);
        }
      });
      origins.advance(ANSWERED_MS);
      asked.forEach(({ answer: { origin }, version }) => {
        if (origin?.kind === 'known') assert.is(origin.version, version);
      });
    }),
    { seed: 20_261_206, numRuns: 300 },
  );
});

suite.run();
