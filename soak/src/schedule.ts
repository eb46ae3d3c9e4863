/** What happens in a run, drawn from its seed: faults in series that overlap, and the work of callers. */
import * as fc from 'fast-check';

import type * as proxies from './proxy.js';

export type Fault =
  | { kind: 'freeze-instance'; at: number; forMs: number }
  | { kind: 'stop-instance'; at: number }
  | { kind: 'kill-instance'; at: number }
  | { kind: 'reload-instance'; at: number }
  | { kind: 'freeze-upstream'; at: number; forMs: number }
  | { kind: 'kill-upstream'; at: number }
  /** Its address stands in the entry of another name too, which it refuses. */
  | { kind: 'misname-upstream'; at: number; forMs: number }
  | { kind: 'freeze-store'; forMs: number }
  | { kind: 'change-configuration' };

/** Faults in series, with the pause before each. */
export type Series = readonly { pauseMs: number; fault: Fault }[];

/** The requests of one connection. */
export type Visit = {
  instance: number;
  way: proxies.Way;
  /** How long the connection is open before the first request. */
  openedAheadMs: number;
  requests: readonly Work[];
};

export type Work = {
  path: '/safe/' | '/unsafe/' | '/stream/';
  /** Between the two halves of the body. */
  halvesMs: number;
  /** Until the upstream answers. */
  delayMs: number;
  deadlineMs: number;
  /** Before the next request of the connection. */
  pauseMs: number;
};

export type Schedule = { series: readonly Series[]; callers: readonly (readonly Visit[])[] };

export type Size = { instances: number; upstreams: number; callers: number; durationMs: number };

const SERIES = 3;
const FAULTS_PER_SERIES = 40;
const VISITS_PER_CALLER = 200;

function aFault({ instances, upstreams }: Size): fc.Arbitrary<Fault> {
  const instance = fc.nat(instances - 1);
  const upstream = fc.nat(upstreams - 1);
  const forMs = fc.integer({ min: 50, max: 3_000 });
  return fc.oneof(
    {
      weight: 8,
      arbitrary: fc.record({ kind: fc.constant('freeze-instance' as const), at: instance, forMs }),
    },
    fc.record({ kind: fc.constant('stop-instance' as const), at: instance }),
    fc.record({ kind: fc.constant('kill-instance' as const), at: instance }),
    fc.record({ kind: fc.constant('reload-instance' as const), at: instance }),
    fc.record({ kind: fc.constant('freeze-upstream' as const), at: upstream, forMs }),
    fc.record({ kind: fc.constant('kill-upstream' as const), at: upstream }),
    fc.record({ kind: fc.constant('misname-upstream' as const), at: upstream, forMs }),
    fc.record({ kind: fc.constant('freeze-store' as const), forMs }),
    fc.record({ kind: fc.constant('change-configuration' as const) }),
  );
}

const WORK: fc.Arbitrary<Work> = fc.record({
  path: fc.constantFrom('/safe/' as const, '/unsafe/' as const, '/unsafe/' as const, '/stream/'),
  halvesMs: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 400 })),
  delayMs: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 1_000 })),
  deadlineMs: fc.constantFrom(600, 1_500, 3_000),
  pauseMs: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 4_500 })),
});

function aVisit({ instances }: Size): fc.Arbitrary<Visit> {
  return fc.record({
    instance: fc.nat(instances - 1),
    way: fc.record({
      delayMs: fc.constantFrom(0, 3, 40, 150),
      splitAtBytes: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 300 })),
      splitPauseMs: fc.integer({ min: 0, max: 2_500 }),
    }),
    openedAheadMs: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 4_000 })),
    requests: fc.array(WORK, { minLength: 1, maxLength: 5 }),
  });
}

export function draw(seed: number, size: Size): Schedule {
  const series = fc.array(
    fc.record({ pauseMs: fc.integer({ min: 0, max: 1_500 }), fault: aFault(size) }),
    { minLength: FAULTS_PER_SERIES, maxLength: FAULTS_PER_SERIES },
  );
  const visits = fc.array(aVisit(size), {
    minLength: VISITS_PER_CALLER,
    maxLength: VISITS_PER_CALLER,
  });
  const schedule = fc.record({
    series: fc.array(series, { minLength: SERIES, maxLength: SERIES }),
    callers: fc.array(visits, { minLength: size.callers, maxLength: size.callers }),
  });
  const [drawn] = fc.sample(schedule, { seed, numRuns: 1 });
  if (!drawn) throw new Error('no schedule was drawn');
  return drawn;
}
