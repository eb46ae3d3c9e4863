/**
 * A planned stop: what a draining instance still takes, and by when each open request has its last
 * answer. Decided from what is left of the grace, for both front ends.
 */
import type * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';

export type Bounds = {
  /** Time from the signal until the process is killed. */
  graceMs: number;
  /** Time for which the balancer may still choose a draining instance. */
  balancerLagMs: number;
};

export type Drain =
  { kind: 'serving'; bounds: Bounds } | { kind: 'draining'; bounds: Bounds; startedAtMs: number };

export type Phase =
  | { kind: 'serving' }
  /** The balancer may still choose this instance, also for those that come back. */
  | { kind: 'leaving' }
  /** Callers come back to other instances, so only what is sure to end here is taken. */
  | { kind: 'finishing'; leftMs: number }
  /** Each open request gets its last answer. */
  | { kind: 'answering' };

/** A request that asks to be taken. */
export type Work = {
  retryPolicy: routes.RetryPolicy;
  /** Time until it has an answer in any case. */
  timeoutMs: number;
  /** Time in which it usually has one. */
  expectedMs: number;
};

export type Admission = { kind: 'taken' } | { kind: 'refused'; retryAfterMs: number };

/** Time from the signal to each step of the stop. */
export type Delays = {
  /** Connections without a request are closed, and no new ones are accepted. */
  closeIdleMs: number;
  /** All that is open is answered. */
  answerMs: number;
  /** What is still open is cut. */
  closeMs: number;
};

/** Reserved for the process to exit before it is killed. */
const EXIT_MARGIN_MS = 500;
/** Reserved for the last answers to be written. */
const ANSWER_MARGIN_MS = 300;
/** Neither margin is longer than this part of the grace. */
const MAX_MARGIN_FRACTION = 1 / 16;
/** When the caller of a refused request connects again, to another instance. */
const RETRY_AFTER_MS = 50;

export function serving({ graceMs, balancerLagMs }: Bounds): Drain {
  return { kind: 'serving', bounds: { graceMs, balancerLagMs } };
}

/** A repeated signal does not prolong the grace. */
export function begin(drain: Drain, now: task.Instant): Drain {
  switch (drain.kind) {
    case 'serving':
      return { kind: 'draining', bounds: drain.bounds, startedAtMs: now.monotonicMs };
    case 'draining':
      return drain;
    default:
      return results.assertNever(drain);
  }
}

export function delays({ graceMs, balancerLagMs }: Bounds): Delays {
  const maxMarginMs = graceMs * MAX_MARGIN_FRACTION;
  const closeMs = graceMs - Math.min(EXIT_MARGIN_MS, maxMarginMs);
  const answerMs = closeMs - Math.min(ANSWER_MARGIN_MS, maxMarginMs);
  return { closeIdleMs: Math.min(balancerLagMs, answerMs), answerMs, closeMs };
}

/** The monotonic time at which open requests get their last answer. */
export function answerAtMs(drain: Drain): number {
  switch (drain.kind) {
    case 'serving':
      return Infinity;
    case 'draining':
      return drain.startedAtMs + delays(drain.bounds).answerMs;
    default:
      return results.assertNever(drain);
  }
}

export function phaseAt(drain: Drain, now: task.Instant): Phase {
  switch (drain.kind) {
    case 'serving':
      return { kind: 'serving' };
    case 'draining': {
      const { closeIdleMs, answerMs } = delays(drain.bounds);
      const passedMs = now.monotonicMs - drain.startedAtMs;
      if (passedMs >= answerMs) return { kind: 'answering' };
      if (passedMs >= closeIdleMs) return { kind: 'finishing', leftMs: answerMs - passedMs };
      return { kind: 'leaving' };
    }
    default:
      return results.assertNever(drain);
  }
}

/** Whether a request is passed on, or refused as not run while its caller can still go elsewhere. */
export function admit(drain: Drain, work: Work, now: task.Instant): Admission {
  const phase = phaseAt(drain, now);
  switch (phase.kind) {
    case 'serving':
    case 'leaving':
      return { kind: 'taken' };
    case 'finishing':
      return neededMs(work) <= phase.leftMs
        ? { kind: 'taken' }
        : { kind: 'refused', retryAfterMs: RETRY_AFTER_MS };
    case 'answering':
      return { kind: 'refused', retryAfterMs: RETRY_AFTER_MS };
    default:
      return results.assertNever(phase);
  }
}

function neededMs({ retryPolicy, timeoutMs, expectedMs }: Work): number {
  switch (retryPolicy) {
    case 'retryable':
      // In the worst case it ends with 504, and its caller repeats it elsewhere.
      return Math.min(timeoutMs, expectedMs);
    case 'resumable':
      // Its caller could resume it, but has to have its prompt read once more.
      return timeoutMs;
    case 'at-most-once':
      return timeoutMs;
    default:
      return results.assertNever(retryPolicy);
  }
}
