/**
 * Paces the work that an instance starts while requests are refused. Instances hear of each other's work
 * some hundred ms late: all of them see the same room at the upstreams, and would fill it many times over.
 */
import type * as task from '../kernel/task.js';
import type * as types from './types.js';

/** What peers told is as old as this; the work that may be started at once covers the time. */
const HEARD_AFTER_MS = 800;
/** Part of it that only accounts within their fair share may use. */
const RESERVED_SHARE = 0.5;

/** Changes the part of the capacity that this instance may start, in work per ms. */
export function setRate(pace: types.Pace, perMs: number, now: task.Instant): void {
  Object.assign(pace, {
    allowance: allowanceAt(pace, now.monotonicMs),
    atMs: now.monotonicMs,
    perMs,
  });
}

/** Grows with time up to what may be started at once, and falls with each start. */
function allowanceAt({ allowance, perMs, atMs }: types.Pace, nowMs: number): number {
  return Math.min(perMs * HEARD_AFTER_MS, allowance + Math.max(0, nowMs - atMs) * perMs);
}

/** Counts work that is started, paced or not. */
export function spend(pace: types.Pace, work: number, now: task.Instant): void {
  const lowest = -pace.perMs * HEARD_AFTER_MS;
  const allowance = Math.max(lowest, allowanceAt(pace, now.monotonicMs) - work);
  Object.assign(pace, { allowance, atMs: now.monotonicMs });
}

/** Time until an account may start work; 0 if it may now. */
export function untilAllowedMs(pace: types.Pace, overuse: number, now: task.Instant): number {
  if (pace.perMs <= 0) return 0;
  const reserved = overuse > 0 ? RESERVED_SHARE * pace.perMs * HEARD_AFTER_MS : 0;
  return Math.max(0, reserved - allowanceAt(pace, now.monotonicMs)) / pace.perMs;
}
