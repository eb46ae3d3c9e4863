/**
 * How old the knowledge of the configuration is. The monotonic clock stands still while a machine is
 * suspended and the wall clock may be set, so the larger of both ages counts.
 */
import type * as task from '../kernel/task.js';

/** The larger of the two ages, in milliseconds; a wall clock that was set back does not lower it. */
export function ageMs(since: task.Instant, now: task.Instant): number {
  return Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
}

/** How much earlier than its bound a credential's confirmation ends: the way to the upstream. */
export const REVOCATION_MARGIN_MS = 600;
/** An instance that has not heard for this share of the bound does not call a route unknown. */
const FRESH_FRACTION = 0.97;

export type StalenessBounds = {
  /** A removed credential must not be served for longer than this, connected or not. */
  revocationMs: number;
  /** A change is in force after this on an instance that is connected. */
  adoptionMs: number;
};

/** `fresh`: unknown routes may be denied. `usable`: known ones may be served. */
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
