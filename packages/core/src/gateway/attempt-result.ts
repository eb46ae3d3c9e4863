/**
 * Classifies the result of one attempt. This is the only place in the gateway that decides whether
 * a request counts as "not run".
 */
import type * as quarantine from '../quarantine/types.js';
import * as results from '../results/index.js';
import type * as request from './request.js';
import type * as routes from './routes.js';

/** How an attempt at one upstream ended. */
export type Result =
  /** No byte of the request left this instance. */
  | { kind: 'unsent'; reason: UnsentReason; detail: string }
  /** The upstream confirmed that it did not run the request. */
  | { kind: 'rejected'; status: number }
  /** A complete response that carries the id of the request. `isSealed`: with a response seal. */
  | { kind: 'answered'; head: request.ResponseHead; body: Buffer; isSealed: boolean }
  /** The request was sent, and no complete response arrived. */
  | { kind: 'broken'; reason: InterruptionReason; detail: string };

/**
 * `no-connection`: all of this instance's share of the upstream's connections is in use. `weights-expired`:
 * the process stood still after the placement, and the request would begin on replaced weights too late.
 */
export type UnsentReason = 'unreachable' | 'no-connection' | 'out-of-time' | 'weights-expired';

export type InterruptionReason = 'connection-lost' | 'foreign-answer' | 'malformed' | 'too-large';

/**
 * Statuses that tell a caller that its request has not run. Only the gateway may say so; from an
 * upstream they need the "not run" confirmation to be trusted.
 */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const FIRST_ERROR = 500;
const FIRST_FAILURE = 300;

export type Classification =
  /** Delivered to the caller unchanged. */
  | { kind: 'deliver' }
  /** Certainly not run: may go to another upstream, or be refused as not run. */
  | { kind: 'not-run' }
  /** May have run: a retryable request may go to another upstream. */
  | { kind: 'unknown' }
  /** Ran and failed: delivered unless the request is retryable and another upstream takes it. */
  | { kind: 'failed' };

export function classify(result: Result): Classification {
  switch (result.kind) {
    case 'unsent':
    case 'rejected':
      return { kind: 'not-run' };
    case 'broken':
      return { kind: 'unknown' };
    case 'answered':
      return classifyStatus(result.head.status, result.isSealed);
    default:
      return results.assertNever(result);
  }
}

function classifyStatus(status: number, isSealed: boolean): Classification {
  if (NOT_RUN_STATUSES.has(status)) return { kind: 'unknown' };
  if (status < FIRST_FAILURE) return { kind: isSealed ? 'deliver' : 'unknown' };
  return { kind: status >= FIRST_ERROR ? 'failed' : 'deliver' };
}

/** What the upstream survived, if the whole answer shows that: its end is marked, and its id is sealed. */
export function survivedBy(result: Result): quarantine.Survived | undefined {
  const isWhole = result.kind === 'answered' && result.isSealed && result.head.isFramed;
  if (!isWhole) return undefined;
  return result.head.status < FIRST_FAILURE ? 'prompt-and-request' : 'request';
}

/** Whether a request that may have run may be sent again. */
export function mayRetryAfterRun(retryPolicy: routes.RetryPolicy): boolean {
  switch (retryPolicy) {
    case 'retryable':
    case 'resumable':
      return true;
    case 'at-most-once':
      return false;
    default:
      return results.assertNever(retryPolicy);
  }
}
