/**
 * Guards against instances that together send a cold upstream more requests than its capacity. This
 * can happen when lease holders pause or die, membership views differ, or the platform is down.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as worlds from '../../src/models/world.js';

const suite = uvu.suite('load on a cold upstream, over all instances');

const COLD_SLOTS = 2;
const RUN_MS = 40_000;
const SEEDS = [1, 2, 3, 4, 5, 6];
const ALWAYS_COLD_MS = 1_000_000;

/** An instance whose imports may outlast its right to send, with some callers that disconnect. */
function anEntry(given: Partial<worlds.Options['entry']> = {}): worlds.Options['entry'] {
  return {
    longestImportMs: core.coldStarts.lease.TERM_MS + 2_000,
    longestDeliveryMs: core.load.rights.DELIVERY_MAX_MS,
    cancelledShare: 0.2,
    ...given,
  };
}

/** Five instances in front of one engine, with every delay as long as the assumptions allow. */
function aWorld(given: Partial<worlds.Options> = {}): worlds.World {
  return worlds.create({
    seed: 1,
    policy: 'medlarweir',
    dataCentres: ['dc-1'],
    instances: 5,
    engines: 1,
    engine: { slots: 8, coldSlots: COLD_SLOTS, firstTokenMs: 200, answerMs: 2_000 },
    entry: anEntry(),
    platform: { longestDelayMs: 400, lostAnswers: 0.2 },
    reportEveryMs: 200,
    longestReportLagMs: core.load.rights.REPORT_LAG_MAX_MS,
    ...given,
  });
}

type Fault =
  | { kind: 'pause'; instance: number; atMs: number; forMs: number }
  | { kind: 'die'; instance: number; atMs: number }
  | { kind: 'outage'; atMs: number; forMs: number }
  | { kind: 'silence'; instance: number; atMs: number }
  /** The instance's membership view holds only these other instances. */
  | { kind: 'view'; instance: number; atMs: number; sees: readonly number[] };

function strike(world: worlds.World, fault: Fault): void {
  const { timeline, platform, entries } = world;
  switch (fault.kind) {
    case 'pause':
      timeline.at(fault.atMs, () => entries[fault.instance]?.pause());
      timeline.at(fault.atMs + fault.forMs, () => entries[fault.instance]?.resume());
      return;
    case 'die':
      timeline.at(fault.atMs, () => entries[fault.instance]?.die());
      return;
    case 'outage':
      timeline.at(fault.atMs, () => platform.setOutage(true));
      timeline.at(fault.atMs + fault.forMs, () => platform.setOutage(false));
      return;
    case 'silence':
      timeline.at(fault.atMs, () =>
        entries[fault.instance]?.receiveReport('engine-1', { kind: 'silent' }),
      );
      return;
    case 'view': {
      const members = fault.sees.map((at) => worlds.aMember(`instance-${at + 1}`, 'dc-1'));
      timeline.at(fault.atMs, () => entries[fault.instance]?.seeMembers(members));
      return;
    }
    default:
      core.results.assertNever(fault);
  }
}

/** Runs a cold upstream under far more requests than its capacity, with faults. */
function runCold(world: worlds.World, faults: readonly Fault[]): void {
  world.turnCold(0, ALWAYS_COLD_MS);
  faults.forEach((fault) => strike(world, fault));
  world.arrive(0, RUN_MS, 40);
  world.timeline.runUntil(RUN_MS);
}

function coldStats(world: worlds.World) {
  return world.engines[0]?.stats() ?? { coldPeak: 0, coldOverloads: 0, lost: 0, lastArrivalMs: 0 };
}

const FAULT_TABLE: readonly { title: string; faults: readonly Fault[] }[] = [
  { title: 'without faults', faults: [] },
  {
    title: 'every membership view holds only the instance itself',
    faults: [0, 1, 2, 3, 4].map((instance) => ({ kind: 'view', instance, atMs: 0, sees: [] })),
  },
  {
    title: 'each instance in turn is paused for longer than a lease',
    faults: [0, 1, 2, 3, 4].map((instance) => ({
      kind: 'pause',
      instance,
      atMs: 5_000 + instance * 3_000,
      forMs: 9_000,
    })),
  },
  {
    title: 'instances die one after another',
    faults: [0, 1, 2, 3].map((instance) => ({
      kind: 'die',
      instance,
      atMs: 5_000 * (instance + 1),
    })),
  },
  {
    title: 'the platform is down when a lease has to be renewed',
    faults: [{ kind: 'outage', atMs: 6_000, forMs: 12_000 }],
  },
  {
    title: 'the platform recovers just as each lease expires',
    faults: Array.from({ length: 5 }, (_, at) => ({
      kind: 'outage',
      atMs: 4_000 + at * 7_000,
      forMs: core.coldStarts.lease.TERM_MS - 200,
    })),
  },
  {
    title: 'a paused holder, differing views and an outage together',
    faults: [
      ...[0, 1, 2, 3, 4].map((instance): Fault => ({
        kind: 'pause',
        instance,
        atMs: 9_000,
        forMs: 2_000 * instance,
      })),
      { kind: 'view', instance: 1, atMs: 0, sees: [] },
      { kind: 'view', instance: 2, atMs: 0, sees: [4] },
      { kind: 'outage', atMs: 8_000, forMs: 4_000 },
    ],
  },
];

FAULT_TABLE.forEach(({ title, faults }) => {
  suite(`load never exceeds the cold capacity: ${title}`, () => {
    SEEDS.forEach((seed) => {
      const world = aWorld({ seed, entry: anEntry({ longestImportMs: (seed % 3) * 4_000 }) });
      runCold(world, faults);
      assert.is(coldStats(world).coldOverloads, 0, `seed ${seed}`);
      assert.ok(world.tally.counts().ended > 0, 'the cold upstream was used at all');
    });
  });
});

const instance = fastCheck.integer({ min: 0, max: 4 });
const atMs = fastCheck.integer({ min: 0, max: RUN_MS });
const forMs = fastCheck.integer({ min: 1, max: 15_000 });
const fault: fastCheck.Arbitrary<Fault> = fastCheck.oneof(
  fastCheck.record({ kind: fastCheck.constant('pause' as const), instance, atMs, forMs }),
  fastCheck.record({ kind: fastCheck.constant('die' as const), instance, atMs }),
  fastCheck.record({ kind: fastCheck.constant('outage' as const), atMs, forMs }),
  fastCheck.record({ kind: fastCheck.constant('silence' as const), instance, atMs }),
  fastCheck.record({
    kind: fastCheck.constant('view' as const),
    instance,
    atMs,
    sees: fastCheck.uniqueArray(instance, { maxLength: 5 }),
  }),
);

suite('load never exceeds the cold capacity under random faults in any order', () => {
  fastCheck.assert(
    fastCheck.property(
      fastCheck.integer({ min: 1, max: 1_000_000 }),
      fastCheck.constantFrom(100, 1_000, 15_000),
      fastCheck.constantFrom(0, 1_000, 8_000),
      fastCheck.array(fault, { maxLength: 12 }),
      (seed, answerMs, longestImportMs, faults) => {
        const engine = { slots: 8, coldSlots: COLD_SLOTS, firstTokenMs: 200, answerMs };
        const world = aWorld({ seed, engine, entry: anEntry({ longestImportMs }) });
        runCold(world, faults);
        assert.is(coldStats(world).coldOverloads, 0);
      },
    ),
    fixtures.seeded(100),
  );
});

suite(
  'after an unannounced cold start no excess request arrives once the report delay has passed',
  () => {
    const turnedAtMs = 10_000;
    const settledAtMs =
      turnedAtMs + core.load.rights.REPORT_LAG_MAX_MS + core.load.rights.DELIVERY_MAX_MS + 200;
    fastCheck.assert(
      fastCheck.property(fastCheck.integer({ min: 1, max: 1_000_000 }), (seed) => {
        const world = aWorld({
          seed,
          entry: anEntry({ longestImportMs: 0 }),
        });
        world.arrive(0, RUN_MS, 3);
        world.timeline.at(turnedAtMs, () => world.turnCold(0, ALWAYS_COLD_MS));
        world.timeline.runUntil(settledAtMs);
        const { coldOverloads } = coldStats(world);
        world.timeline.runUntil(RUN_MS);
        assert.is(coldStats(world).coldOverloads, coldOverloads);
      }),
      fixtures.seeded(30),
    );
  },
);

suite.run();
