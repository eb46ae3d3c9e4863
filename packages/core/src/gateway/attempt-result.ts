/** What the end of one attempt says about the request: the one place that decides on "not run". */
import * as results from '../results/index.js';
import type * as request from './request.js';
import type * as routes from './routes.js';

/** How an attempt at one upstream ended. */
export type Result =
  /** No byte of the request left this instance. */
  | { kind: 'unsent'; reason: UnsentReason; detail: string }
  /** The upstream vouches that it did not run the request. */
  | { kind: 'rejected'; status: number }
  /** A whole answer that carries the id of the request. */
  | { kind: 'answered'; head: request.ResponseHead; body: Buffer; isSealed: boolean }
  /** Sent, and no whole answer came. */
  | { kind: 'broken'; reason: InterruptionReason; detail: string };

/** `no-connection`: this instance's share of the upstream's connections is in use. */
export type UnsentReason = 'unreachable' | 'no-connection' | 'out-of-time';

export type InterruptionReason = 'connection-lost' | 'foreign-answer' | 'malformed' | 'too-large';

/** These promise a caller that its request has not run: only the system itself may say so. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const FIRST_ERROR = 500;
const FIRST_FAILURE = 300;

export type Classification =
  /** Handed to the caller as it is. */
  | { kind: 'deliver' }
  /** Not run: may go to another upstream, or be refused truthfully. */
  | { kind: 'not-run' }
  /** May have run; a repeatable request may go to another upstream. */
  | { kind: 'unknown' }
  /** Ran and failed; delivered unless a repeatable request finds another upstream. */
  | { kind: 'failed' };

export function classify(end: Result): Classification {
  switch (end.kind) {
    case 'unsent':
    case 'rejected':
      return { kind: 'not-run' };
    case 'broken':
      return { kind: 'unknown' };
    case 'answered':
      return classifyStatus(end.head.status, end.isSealed);
    default:
      return results.assertNever(end);
  }
}

function classifyStatus(status: number, isSealed: boolean): Classification {
  if (NOT_RUN_STATUSES.has(status)) return { kind: 'unknown' };
  if (status < FIRST_FAILURE) return { kind: isSealed ? 'deliver' : 'unknown' };
  return { kind: status >= FIRST_ERROR ? 'failed' : 'deliver' };
}

/** Whether a request that may have run may be sent once more. */
export function mayRetryAfterRun(repetition: routes.RetryPolicy): boolean {
  switch (repetition) {
    case 'retryable':
    case 'resumable':
      return true;
    case 'at-most-once':
      return false;
    default:
      return results.assertNever(repetition);
  }
}
