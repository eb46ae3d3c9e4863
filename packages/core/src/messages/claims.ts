/**
 * Messages to and from the claims task, which makes requests with an idempotency key take effect
 * once.
 */
import type * as task from '../kernel/task.js';
import type * as results from '../results/index.js';
import type * as configuration from './configuration.js';
import type * as taskLifecycle from './task-lifecycle.js';
import type * as membership from './membership.js';
import type * as peers from './peers.js';
import type * as platform from './platform.js';
import type * as upstreams from './upstreams.js';

/** The exclusive right to send one request with an idempotency key. */
export type Claim = {
  clientAccount: string;
  key: string;
  /**
   * SHA-256 of method, path and body. The same key with a different digest is a different request.
   */
  digest: string;
  /** Identifies this attempt, so that only its holder may record an outcome. */
  attemptId: string;
};

export type RecordedOutcome =
  | { kind: 'answered'; answer: upstreams.PlainResponse }
  /** The request cannot have run; the key may be claimed again. */
  | { kind: 'not-run' }
  | { kind: 'unknown' };

export type ClaimAnswer =
  | { kind: 'granted'; claim: Claim; sendBeforeMs: number }
  | { kind: 'recorded'; answer: upstreams.PlainResponse }
  /** The request ran and was answered, but the answer was too large to store. */
  | { kind: 'answer-not-kept'; status: number }
  | { kind: 'in-progress' }
  | { kind: 'outcome-unknown' }
  | { kind: 'key-reused' }
  | { kind: 'key-expired' }
  | { kind: 'key-from-future' }
  | { kind: 'unavailable'; failure: results.Failure };

export type ClaimAnswered = { type: 'claim.answered'; requestId: string; answer: ClaimAnswer };
export type ClaimRecorded = { type: 'claim.recorded'; requestId: string; isDurable: boolean };

/** The claims task's timers; a fired timer names what is due. */
export type ClaimsTimer =
  | { kind: 'page'; key: string }
  | { kind: 'attempt'; operation: 'claim' | 'record'; attemptId: string }
  | { kind: 'probe' };

export type ClaimsMessage =
  | taskLifecycle.LifecycleMessage
  | configuration.ConfigurationAdopted
  | membership.MembershipChanged
  | peers.DigestReceived
  | platform.PlatformAnswered
  | {
      type: 'claims.claim';
      requestId: string;
      clientAccount: string;
      key: string;
      digest: string;
      /** The longest time that the upstream may take to answer. */
      timeoutMs: number;
      replyTo: task.Address<ClaimAnswered>;
    }
  | {
      type: 'claims.record-outcome';
      requestId: string;
      claim: Claim;
      outcome: RecordedOutcome;
      replyTo: task.Address<ClaimRecorded>;
    }
  | { type: 'claims.timer-fired'; timer: ClaimsTimer }
  /** The last caller has been answered: the task is drained once every outcome is recorded. */
  | { type: 'claims.callers-finished' };
