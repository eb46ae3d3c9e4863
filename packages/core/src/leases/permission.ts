/** The check that a holder makes immediately before each effect. */
import type * as task from '../kernel/task.js';
import type * as lease from './lease.js';

export type Permission =
  /** The effect must be sent in the same step; `sendBeforeMs` is monotonic time. */
  { kind: 'granted'; fencing: number; sendBeforeMs: number } | { kind: 'refused'; reason: Refusal };

/**
 * `expired`: not renewed in time. `grace-period`: effects of a previous holder may still arrive.
 */
export type Refusal = 'not-held' | 'expired' | 'grace-period';

/**
 * Whether an effect may be sent now. An upstream that checks fencing tokens rejects late effects
 * itself; for any other upstream, the maximum delivery time has to pass first.
 */
export function permit(
  { phase }: lease.Lease,
  upstream: { checksFencing: boolean },
  now: task.Instant,
): Permission {
  if (phase.kind !== 'held') return { kind: 'refused', reason: 'not-held' };
  const { grant } = phase;
  if (hasExpired(grant, now)) return { kind: 'refused', reason: 'expired' };
  if (!upstream.checksFencing && now.monotonicMs < grant.graceUntilMs) {
    return { kind: 'refused', reason: 'grace-period' };
  }
  return { kind: 'granted', fencing: grant.fencing, sendBeforeMs: grant.expiresAt.monotonicMs };
}

/**
 * Checks both clocks: the monotonic clock may stop while the machine is suspended, and the wall
 * clock may be set back.
 */
export function hasExpired({ expiresAt }: lease.Grant, now: task.Instant): boolean {
  return now.monotonicMs >= expiresAt.monotonicMs || now.wallMs >= expiresAt.wallMs;
}
