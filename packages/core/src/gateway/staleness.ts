/**
 * Age of the last confirmation of the configuration. The monotonic clock stops while a machine is
 * suspended, and the wall clock may be set, so the larger of both ages counts.
 */
import type * as task from '../kernel/task.js';

/** Returns the larger of the two ages in ms; a wall clock that was set back does not lower it. */
export function ageMs(since: task.Instant, now: task.Instant): number {
  return Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
}

/** Subtracted from `revocationMs`: time that a request needs to reach the upstream. */
export const REVOCATION_MARGIN_MS = 600;
/** Fraction of `adoptionMs` after which an instance no longer reports a route as unknown. */
const FRESH_FRACTION = 0.97;

export type StalenessBounds = {
  /** Longest time that a removed credential may be served, even by a disconnected instance. */
  revocationMs: number;
  /** Time by which a connected instance has adopted a change. */
  adoptionMs: number;
};

/**
 * `fresh`: unknown routes and credentials may be denied for good. `stale`: known credentials may
 * still be served. `expired`: only anonymous routes are served.
 */
export type Freshness = 'fresh' | 'stale' | 'expired';

export function freshness(
  confirmedAt: task.Instant | undefined,
  { revocationMs, adoptionMs }: StalenessBounds,
  now: task.Instant,
): Freshness {
  if (!confirmedAt) return 'expired';
  const age = ageMs(confirmedAt, now);
  if (age <= adoptionMs * FRESH_FRACTION) return 'fresh';
  return age <= revocationMs - REVOCATION_MARGIN_MS ? 'stale' : 'expired';
}
