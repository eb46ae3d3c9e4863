/**
 * Guards against more requests than an upstream's named limit allows, summed over all instances. The
 * oracle is the users' rule: from the contact time after the limit was first named, in any 4 s at most
 * one and a half times what it allows and 5 requests, from instances that have known it for half a
 * second. A restart or a freeze excuses its instance.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: rate of an upstream that names a limit');

type Schedule = fixtures.limitedFleet.Schedule;
type Arrival = fixtures.limitedFleet.Arrival;
type Incident = fixtures.limitedFleet.Incident;

const WINDOW_MS = 4_000;
const CONTACT_MS = 3_000;
const TOLD_MS = 500;
const OVERRUN = 1.5;
const SLACK = 5;

/** Whether the rule counts the arrival: its instance knew the limit, and was not disturbed. */
function counts({ incidents }: Schedule, { instance, atMs, toldAtMs }: Arrival): boolean {
  if (toldAtMs + TOLD_MS > atMs) return false;
  return !incidents.some((incident) => {
    if (incident.instance !== instance) return false;
    if (incident.kind !== 'restart' && incident.kind !== 'freeze') return false;
    const endMs = incident.atMs + (incident.kind === 'freeze' ? incident.forMs : 0);
    return atMs >= incident.atMs && atMs <= endMs + CONTACT_MS;
  });
}

/** The highest limit within the time; a change counts as old until it can be known. */
function highestLimit({ limits }: Schedule, fromMs: number, toMs: number): number {
  const perS = limits
    .filter((limit, at) => {
      const endMs = (limits[at + 1]?.fromMs ?? Infinity) + CONTACT_MS;
      return limit.fromMs <= toMs && endMs >= fromMs;
    })
    .map((limit) => limit.perS ?? Infinity);
  return Math.max(...perS);
}

/** The largest excess over what the rule allows, in requests; negative if it holds. */
function excess(schedule: Schedule, arrivals: readonly Arrival[]): number {
  const counted = arrivals.filter((each) => counts(schedule, each));
  const byUpstream = new Map<string, number[]>();
  counted.forEach(({ upstream, atMs }) =>
    byUpstream.set(upstream, [...(byUpstream.get(upstream) ?? []), atMs]),
  );
  const excesses = [...byUpstream.values()].flatMap((times) =>
    times.map((endMs) => {
      const fromMs = endMs - WINDOW_MS;
      const allowed = (OVERRUN * highestLimit(schedule, fromMs, endMs) * WINDOW_MS) / 1_000 + SLACK;
      return times.filter((atMs) => atMs > fromMs && atMs <= endMs).length - allowed;
    }),
  );
  return Math.max(-Infinity, ...excesses);
}

function aSchedule(changes: Partial<Schedule> = {}): Schedule {
  return {
    seed: 1,
    instances: 7,
    upstreams: 2,
    requestsPerS: 6,
    untilMs: 14_000,
    limits: [
      { fromMs: 0, perS: undefined },
      { fromMs: 1_000, perS: 4 },
    ],
    incidents: [],
    ...changes,
  };
}

const anInstance = (instances: number) => fastCheck.nat(instances - 1);
const aMoment = fastCheck.integer({ min: 500, max: 12_000 });

function anIncident(instances: number): fastCheck.Arbitrary<Incident> {
  const instance = anInstance(instances);
  const forMs = fastCheck.integer({ min: 100, max: 1_500 });
  const lagMs = fastCheck.integer({ min: 100, max: 3_000 });
  return fastCheck.oneof(
    fastCheck.record({ kind: fastCheck.constant('restart' as const), instance, atMs: aMoment }),
    fastCheck.record({
      kind: fastCheck.constant('freeze' as const),
      instance,
      atMs: aMoment,
      forMs,
    }),
    fastCheck.record({
      kind: fastCheck.constant('bunch' as const),
      instance,
      atMs: aMoment,
      forMs: fastCheck.integer({ min: 20, max: 400 }),
    }),
    fastCheck.record({
      kind: fastCheck.constant('split' as const),
      instance,
      atMs: aMoment,
      forMs: fastCheck.integer({ min: 500, max: 6_000 }),
    }),
    fastCheck.record({
      kind: fastCheck.constantFrom('leave' as const, 'join' as const),
      instance,
      atMs: aMoment,
      lagMs,
    }),
  );
}

/** Limits that are named late, rise, fall and are withdrawn. */
const someLimits: fastCheck.Arbitrary<readonly fixtures.limitedFleet.Limit[]> = fastCheck
  .array(fastCheck.option(fastCheck.integer({ min: 1, max: 20 }), { nil: undefined, freq: 6 }), {
    minLength: 1,
    maxLength: 3,
  })
  .map((halves) => [
    { fromMs: 0, perS: undefined },
    ...halves.map((half, at) => ({
      fromMs: 700 + at * 5_000,
      perS: half === undefined ? undefined : half / 2,
    })),
  ]);

const FLEETS: readonly { instances: number; requestsPerS: number; runs: number }[] = [
  { instances: 7, requestsPerS: 8, runs: 60 },
  { instances: 78, requestsPerS: 2, runs: 15 },
  { instances: 195, requestsPerS: 1, runs: 8 },
];

FLEETS.forEach(({ instances, requestsPerS, runs }) => {
  suite(`the bound holds for ${instances} instances under any schedule`, () => {
    fastCheck.assert(
      fastCheck.property(
        fastCheck.nat(),
        someLimits,
        fastCheck.array(anIncident(instances), { maxLength: 6 }),
        (seed, limits, incidents) => {
          const schedule = aSchedule({ seed, instances, requestsPerS, limits, incidents });
          const over = excess(schedule, fixtures.limitedFleet.play(schedule));
          assert.ok(over <= 0, `${over} more than allowed`);
        },
      ),
      fixtures.seeded(runs),
    );
  });

  suite(`${instances} instances use at least 0.9 of a named rate`, () => {
    const perS = 5;
    const fromMs = 3_000;
    const schedule = aSchedule({ instances, requestsPerS, limits: [{ fromMs: 0, perS }] });
    const arrivals = fixtures.limitedFleet.play(schedule);
    const used = arrivals.filter(({ atMs }) => atMs >= fromMs).length;
    const allowed = (schedule.upstreams * perS * (schedule.untilMs - fromMs)) / 1_000;
    assert.ok(used >= 0.9 * allowed, `${used} of ${allowed}`);
  });
});

/** Guards against a share that is spent anew after each change of the members or of the limit. */
suite('what is spent stays spent when the share changes', () => {
  const upstream = fixtures.aListedUpstream('u-1');
  const initial = fixtures.aFleet([upstream], { members: ['instance-1', 'instance-2'] });
  const moments = Array.from({ length: 400 }, (_, at) => fixtures.anInstant(at * 10));
  const last = moments.reduce(
    ({ state, sent }, now, at) => {
      const names = at % 2 === 0 ? ['instance-1'] : ['instance-1', 'instance-2'];
      const known = state.registry.upstreams.get('u-1') as core.fleet.upstream.Upstream;
      Object.assign(known, { namedLimit: { perS: 2 + (at % 3), heardAtMs: 0 } });
      const { state: next } = core.fleet.decide(
        state,
        { type: 'fleet.members-changed', names },
        now,
      );
      const request = fixtures.aPlacementRequest({ requestId: `request-${at}`, mayRefuse: false });
      const placed = fixtures.placedUpstream(next, request, now) === 'u-1';
      return { state: next, sent: sent + (placed ? 1 : 0) };
    },
    { state: initial, sent: 0 },
  );
  assert.ok(last.sent <= 4 * 4 + 2, `${last.sent} in 4 s`);
});

/** Guards against callers who wait for an upstream that may not be sent to for longer than they wait. */
suite('a refusal for want of places tells when the next one comes', () => {
  const state = fixtures.aFleet([fixtures.aListedUpstream('u-1')]);
  const upstream = state.registry.upstreams.get('u-1') as core.fleet.upstream.Upstream;
  Object.assign(upstream, { namedLimit: { perS: 2, heardAtMs: 0 } });
  assert.is(fixtures.placedUpstream(state), 'u-1');
  const request = fixtures.aPlacementRequest({ requestId: 'request-2' });
  const refused = core.fleet.placement.place(state, request, fixtures.anInstant());
  assert.is(refused.kind === 'none' && refused.reason, 'limited');
  assert.is(refused.kind === 'none' && refused.freeInMs, 500);
  assert.is(refused.kind === 'none' && refused.detail, '1 limited');
});

suite.run();
