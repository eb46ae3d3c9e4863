/**
 * Age of what the platform last confirmed. The monotonic clock stops while a machine is
 * suspended, and the wall clock may be set, so the larger of both ages counts.
 */
import type * as task from '../kernel/task.js';

/** Returns the larger of the two ages in ms; a wall clock that was set back does not lower it. */
export function ageMs(since: task.Instant, now: task.Instant): number {
  return Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
}

/** Subtracted from bounds on requests that reach an upstream: the time that they need to get there. */
const ARRIVAL_MARGIN_MS = 600;
/** Fraction of `adoptionMs` after which an instance no longer reports a route as unknown. */
const FRESH_FRACTION = 0.97;

/** When the knowledge was confirmed without which no request with a credential is served. */
export type Confirmations = {
  tableAt: task.Instant | undefined;
  evacuationsAt: task.Instant | undefined;
};

export type StalenessBounds = {
  /** Longest time that a removed credential may be served, even by a disconnected instance. */
  revocationMs: number;
  /** Time by which a connected instance has adopted a change. */
  adoptionMs: number;
  /** Time by which an evacuated data centre gets no more work. */
  evacuationMs: number;
};

/**
 * `fresh`: unknown routes and credentials may be denied for good. `stale`: known credentials may
 * still be served. `expired`: only anonymous routes are served.
 */
export type Freshness = 'fresh' | 'stale' | 'expired';

export function freshness(
  { tableAt }: Confirmations,
  { revocationMs, adoptionMs }: StalenessBounds,
  now: task.Instant,
): Freshness {
  if (!tableAt) return 'expired';
  const age = ageMs(tableAt, now);
  if (age <= adoptionMs * FRESH_FRACTION) return 'fresh';
  return age <= revocationMs - ARRIVAL_MARGIN_MS ? 'stale' : 'expired';
}

/**
 * Whether a request that is taken now could reach a data centre whose evacuation has been in force for too
 * long. Where the table cannot be confirmed either, the platform is away, and the table's own bound decides.
 */
export function areEvacuationsUnsure(
  confirmations: Confirmations,
  bounds: StalenessBounds,
  now: task.Instant,
): boolean {
  const { evacuationsAt } = confirmations;
  if (!evacuationsAt) return true;
  const isOld = ageMs(evacuationsAt, now) > bounds.evacuationMs - ARRIVAL_MARGIN_MS;
  return isOld && freshness(confirmations, bounds, now) === 'fresh';
}
