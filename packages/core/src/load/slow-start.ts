/**
 * Slow start of an upstream that has just become warm. The limit on requests over all instances
 * starts at its cold slots and doubles each time its reports show that the limit is in use.
 */
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';

export type Phase = { kind: 'full' } | { kind: 'ramping'; total: number; steppedAtMs: number };

/** Shortest time between two steps, so that reports reflect a step before the next one. */
export const STEP_MS = 500;
const STEP_FACTOR = 2;
/** Share of the total that must be in use before the total grows. */
const MIN_USED_SHARE = 0.5;

export function start(coldSlots: number, now: task.Instant): Phase {
  return { kind: 'ramping', total: coldSlots, steppedAtMs: now.monotonicMs };
}

/** Applies a load report of the warm upstream. */
export function withReport(ramp: Phase, running: number, slots: number, now: task.Instant): Phase {
  switch (ramp.kind) {
    case 'full':
      return ramp;
    case 'ramping': {
      const isDue = now.monotonicMs - ramp.steppedAtMs >= STEP_MS;
      if (!isDue || running < ramp.total * MIN_USED_SHARE) return ramp;
      const total = ramp.total * STEP_FACTOR;
      return total >= slots
        ? { kind: 'full' }
        : { kind: 'ramping', total, steppedAtMs: now.monotonicMs };
    }
    default:
      return results.assertNever(ramp);
  }
}

/** Returns the own part of a total that is divided among instances in order of rank. */
export function ownPart(total: number, rank: number, instances: number): number {
  return Math.floor(total / instances) + (rank < total % instances ? 1 : 0);
}
