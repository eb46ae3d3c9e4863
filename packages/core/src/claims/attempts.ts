/** The attempts of this instance: from the claim of a key until its end is recorded. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as command from './command.js';
import type * as peerMessages from './peer-messages.js';
import type * as keys from './keys.js';
import * as outcomes from './outcomes.js';
import type * as page from './page.js';

/** How long after its claim was asked for a request may leave. */
export const SEND_WINDOW_MS = 5_000;
/** A claim that is not recorded within this time is refused. */
export const CLAIM_TIMEOUT_MS = 4_000;
/** Silence of a gatherer after which an instance writes for itself. */
export const COORDINATOR_TIMEOUT_MS = 60;
/** The longest that a request waits for the release of its key. */
export const RECORD_ACK_TIMEOUT_MS = 2_000;
/** Covers the skew of wall clocks and the time that a sent request is on its way. */
export const LAPSE_MARGIN_MS = 10_000;

type ClaimOperation = Extract<page.Operation, { kind: 'claim' }>;
type RecordOperation = Extract<page.Operation, { kind: 'record' }>;

type Phase =
  | {
      kind: 'claiming';
      requestId: string;
      replyTo: task.Address<messages.ClaimAnswered>;
      claim: messages.Claim;
      operation: ClaimOperation;
      startedAtMs: number;
      isForwarded: boolean;
    }
  /** Granted: the request may leave, once. */
  | { kind: 'held' }
  | {
      kind: 'recording';
      requestId: string;
      replyTo: task.Address<messages.ClaimRecorded>;
      operation: RecordOperation;
      isConfirmed: boolean;
    }
  /** Refused before it was granted: the request never left, and the key is to be free again. */
  | { kind: 'releasing' };

export type Attempt = { attemptId: string; place: keys.Location; phase: Phase };
export type Claiming = Extract<Phase, { kind: 'claiming' }>;
export type Recording = Extract<Phase, { kind: 'recording' }>;

/** The answer to the request that asked for a claim. */
export function answerCommand(
  { requestId, replyTo }: Pick<Claiming, 'requestId' | 'replyTo'>,
  given: messages.ClaimAnswer,
): command.Command {
  return {
    kind: 'answer',
    replyTo,
    message: { type: 'claim.answered', requestId, answer: given },
  };
}

export function confirmCommand(
  { requestId, replyTo }: Pick<Recording, 'requestId' | 'replyTo'>,
  isDurable: boolean,
): command.Command {
  return {
    kind: 'confirm',
    replyTo,
    message: { type: 'claim.recorded', requestId, isDurable },
  };
}

/** Nothing of the request was sent, so "not run" is true. */
export function unavailable(detail: string): messages.ClaimAnswer {
  return { kind: 'unavailable', failure: results.failure('claimUnavailable', detail) };
}

/** What the result on the page means to the request that asked. */
export function toClaimAnswer(
  claim: messages.Claim,
  startedAtMs: number,
  result: peerMessages.Result,
): messages.ClaimAnswer {
  switch (result.kind) {
    case 'granted':
      return { kind: 'granted', claim, sendBeforeMs: startedAtMs + SEND_WINDOW_MS };
    case 'found':
      return answerOfStored(result.outcome);
    case 'key-reused':
    case 'key-expired':
      return result;
    case 'noted':
    case 'overtaken':
    case 'descend':
    case 'unavailable':
      return unavailable(result.kind);
    default:
      return results.assertNever(result);
  }
}

function answerOfStored(outcome: outcomes.Stored): messages.ClaimAnswer {
  switch (outcome.kind) {
    case 'claimed':
      return { kind: 'in-progress' };
    case 'answered':
      return { kind: 'recorded', answer: outcomes.decodeAnswer(outcome) };
    case 'answer-not-kept':
      return outcome;
    case 'unknown':
      return { kind: 'outcome-unknown' };
    default:
      return results.assertNever(outcome);
  }
}
