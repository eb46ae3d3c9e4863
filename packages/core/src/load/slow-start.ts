/**
 * Ramp-up of an upstream that has just become warm. The total over all instances starts at what
 * it bore while cold and doubles each time its reports show that it carries what it was given.
 */
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';

export type Phase = { kind: 'full' } | { kind: 'ramping'; total: number; steppedAtMs: number };

/** The shortest time between two steps: a step shows in the reports before the next is taken. */
export const STEP_MS = 500;
const STEP_FACTOR = 2;
/** Share of the total that must be in use before it grows. */
const MIN_USED_SHARE = 0.5;

export function start(coldSlots: number, now: task.Instant): Phase {
  return { kind: 'ramping', total: coldSlots, steppedAtMs: now.monotonicMs };
}

/** Takes in a warm report. */
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

/** The own part of a total that is divided among instances in the order of their ranks. */
export function ownPart(total: number, rank: number, instances: number): number {
  return Math.floor(total / instances) + (rank < total % instances ? 1 : 0);
}
