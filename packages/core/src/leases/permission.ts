/** The check that a holder makes directly before each effect. */
import type * as task from '../kernel/task.js';
import type * as lease from './lease.js';

export type Permission =
  /** The effect must be sent in the same step; `sendBeforeMs` is of the monotonic clock. */
  { kind: 'granted'; fencing: number; sendBeforeMs: number } | { kind: 'refused'; reason: Refusal };

/** `lapsed`: not renewed in time. `quiet-period`: a previous holder's effects may still arrive. */
export type Refusal = 'not-held' | 'lapsed' | 'quiet-period';

/**
 * Whether an effect may be sent now. An upstream that checks fencing numbers sorts out late effects
 * itself; for any other the longest delivery time has to pass first.
 */
export function permit(
  { phase }: lease.Lease,
  upstream: { checksFencing: boolean },
  now: task.Instant,
): Permission {
  if (phase.kind !== 'held') return { kind: 'refused', reason: 'not-held' };
  const { grip } = phase;
  if (hasLapsed(grip, now)) return { kind: 'refused', reason: 'lapsed' };
  if (!upstream.checksFencing && now.monotonicMs < grip.quietUntilMs) {
    return { kind: 'refused', reason: 'quiet-period' };
  }
  return { kind: 'granted', fencing: grip.fencing, sendBeforeMs: grip.stopAt.monotonicMs };
}

/**
 * Either clock ends a lease: the monotonic one may stand still while a machine is suspended, and
 * the wall clock may be set back.
 */
export function hasLapsed({ stopAt }: lease.Grip, now: task.Instant): boolean {
  return now.monotonicMs >= stopAt.monotonicMs || now.wallMs >= stopAt.wallMs;
}
