/**
 * Guards against generations that revert, instances that stay confirmed with a stale configuration,
 * and changes that arrive late, when links are cut and instances crash or restart.
 */
import * as benchmark from '@medlarweir/benchmark';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('configuration and membership over a faulty fleet');

const SIZE = { instances: 9, dataCentres: 3 };
/** Required bound for a change to be in effect at every reachable instance. */
const IN_FORCE_MS = 11_000;
/** Confirmation expires after 3 s, is checked every 500 ms, and links add a few milliseconds. */
const CONFIDENCE_BOUND_MS = 3_600;
const STEP_MS = 250;
const FAULTS_END_MS = 30_000;

type Fault =
  | { kind: 'cut'; atMs: number; forMs: number; from: string; to: string }
  | { kind: 'restart'; atMs: number; who: number }
  | { kind: 'crash'; atMs: number; forMs: number; who: number }
  | { kind: 'accept'; atMs: number };

const PLACES = ['dc-0', 'dc-1', 'dc-2', 'platform'];
const atMs = fastCheck.integer({ min: 0, max: FAULTS_END_MS });
const forMs = fastCheck.integer({ min: 500, max: 20_000 });
const who = fastCheck.integer({ min: 0, max: SIZE.instances - 1 });
const place = fastCheck.constantFrom(...PLACES);
const fault: fastCheck.Arbitrary<Fault> = fastCheck.oneof(
  fastCheck.record({
    kind: fastCheck.constant('cut' as const),
    atMs,
    forMs,
    from: place,
    to: place,
  }),
  fastCheck.record({ kind: fastCheck.constant('restart' as const), atMs, who }),
  fastCheck.record({ kind: fastCheck.constant('crash' as const), atMs, forMs, who }),
  fastCheck.record({ kind: fastCheck.constant('accept' as const), atMs }),
);

type Accepted = { generation: number; atMs: number };
type Run = { fleet: benchmark.controlPlane.Fleet; accepted: Accepted[] };

/** Starts a fleet with one accepted change, and schedules the faults. */
function aRun(faults: readonly Fault[], seed = 1): Run {
  const fleet = benchmark.controlPlane.create(SIZE, seed, 100);
  const { timeline, links } = fleet.world;
  const accepted: Accepted[] = [];
  const accept = () => accepted.push({ generation: fleet.accept(), atMs: timeline.nowMs() });
  timeline.after(50, accept);
  links.cut((from, to) =>
    faults.some(
      (each) =>
        each.kind === 'cut' &&
        isLink(each, from, to) &&
        timeline.nowMs() >= each.atMs &&
        timeline.nowMs() < Math.min(each.atMs + each.forMs, FAULTS_END_MS),
    ),
  );
  faults.forEach((each) => timeline.after(each.atMs, () => suffer(fleet, each, accept)));
  return { fleet, accepted };
}

/** A data centre that is cut from itself has lost its internal network. */
function isLink(cut: Extract<Fault, { kind: 'cut' }>, from: string, to: string): boolean {
  return (from === cut.from && to === cut.to) || (from === cut.to && to === cut.from);
}

function suffer(fleet: benchmark.controlPlane.Fleet, given: Fault, accept: () => void): void {
  const instance = 'who' in given ? fleet.all[given.who] : undefined;
  switch (given.kind) {
    case 'restart':
      instance?.stop();
      instance?.start();
      return;
    case 'crash':
      instance?.stop();
      fleet.world.timeline.after(given.forMs, () => instance?.start());
      return;
    case 'accept':
      accept();
      return;
    case 'cut':
      return;
    default:
      throw new Error(`unexpected fault ${JSON.stringify(given satisfies never)}`);
  }
}

/** A confirmed instance must have every change that was accepted before the bound. */
function checkConfidence({ fleet, accepted }: Run): void {
  const nowMs = fleet.world.timeline.nowMs();
  const due = accepted.filter((each) => each.atMs <= nowMs - CONFIDENCE_BOUND_MS);
  const least = due.at(-1)?.generation ?? 0;
  fleet.all
    .filter((each) => each.isRunning() && each.isConfirmed())
    .forEach((each) =>
      assert.ok(
        each.generation() >= least,
        `${each.name} is confirmed at ${each.generation()}, ${least} was accepted`,
      ),
    );
}

function runUntil(run: Run, untilMs: number): void {
  const { timeline } = run.fleet.world;
  while (timeline.nowMs() < untilMs) {
    timeline.runUntil(timeline.nowMs() + STEP_MS);
    checkConfidence(run);
  }
}

suite(
  'under random faults no generation reverts, confirmation is never stale, and changes arrive in time',
  () => {
    const faults = fastCheck.array(fault, { maxLength: 12 });
    fastCheck.assert(
      fastCheck.property(faults, fastCheck.integer({ min: 1, max: 1_000 }), (given, seed) => {
        const run = aRun(given, seed);
        const lastCrashMs = Math.max(
          0,
          ...given.map((each) => (each.kind === 'crash' ? each.atMs + each.forMs : 0)),
        );
        runUntil(run, Math.max(FAULTS_END_MS, lastCrashMs) + IN_FORCE_MS);
        assert.is(run.fleet.reverted(), 0);
        const latest = run.accepted.at(-1)?.generation;
        run.fleet.all.forEach((each) => {
          assert.is(each.generation(), latest, `${each.name} has not the latest generation`);
          assert.ok(each.isConfirmed(), `${each.name} is not confirmed`);
        });
      }),
      fixtures.seeded(100),
    );
  },
);

const WHOLE_OUTAGE: readonly Fault[] = ['dc-0', 'dc-1', 'dc-2'].map((to) => ({
  kind: 'cut',
  atMs: 5_000,
  forMs: 25_000,
  from: 'platform',
  to,
}));

suite('an instance that restarts during an outage learns the configuration from peers', () => {
  const run = aRun([...WHOLE_OUTAGE, { kind: 'restart', atMs: 10_000, who: 4 }]);
  runUntil(run, 12_000);
  const restarted = run.fleet.all[4];
  assert.is(restarted?.generation(), run.accepted.at(-1)?.generation);
  assert.not.ok(restarted?.isConfirmed(), 'what a peer sent is in force, not confirmed');
});

suite('during an outage no instance stays confirmed for more than a few seconds', () => {
  const run = aRun(WHOLE_OUTAGE);
  runUntil(run, 4_500);
  assert.ok(run.fleet.all.every((each) => each.isConfirmed()));
  runUntil(run, 5_000 + CONFIDENCE_BOUND_MS + 1_500);
  assert.ok(run.fleet.all.every((each) => !each.isConfirmed()));
});

suite('a data centre cut only from the platform still receives changes through its peers', () => {
  const cut: Fault = { kind: 'cut', atMs: 5_000, forMs: 25_000, from: 'platform', to: 'dc-1' };
  const run = aRun([cut, { kind: 'accept', atMs: 12_000 }]);
  runUntil(run, 23_000);
  const latest = run.accepted.at(-1)?.generation;
  run.fleet.all.forEach((each) => assert.is(each.generation(), latest));
});

suite('both sides of a partition mark the other as silent, and recover when it ends', () => {
  const cuts: readonly Fault[] = ['dc-0', 'dc-1'].map((to) => ({
    kind: 'cut',
    atMs: 10_000,
    forMs: 15_000,
    from: 'dc-2',
    to,
  }));
  const run = aRun(cuts);
  runUntil(run, 24_000);
  assert.equal(silentAt(run, 0), ['instance-2', 'instance-5', 'instance-8']);
  assert.equal(
    silentAt(run, 2),
    [0, 1, 3, 4, 6, 7].map((at) => `instance-${at}`),
  );
  runUntil(run, 36_000);
  assert.equal(silentAt(run, 0), []);
  assert.equal(silentAt(run, 2), []);
});

suite('a crashed instance is marked silent by its peers until it returns', () => {
  const run = aRun([{ kind: 'crash', atMs: 10_000, forMs: 15_000, who: 3 }]);
  runUntil(run, 24_000);
  [0, 1, 2, 6].forEach((at) => assert.equal(silentAt(run, at), ['instance-3']));
  runUntil(run, 40_000);
  [0, 1, 2, 6].forEach((at) => assert.equal(silentAt(run, at), []));
});

function silentAt({ fleet }: Run, at: number): readonly string[] {
  const members = fleet.all[at]?.members() ?? [];
  return members.filter(({ evidence }) => evidence === 'silent').map(({ name }) => name);
}

suite.run();
