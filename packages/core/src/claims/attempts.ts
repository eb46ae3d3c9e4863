/** Attempts of this instance, from the claim of a key until the outcome is recorded. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as command from './command.js';
import type * as peerMessages from './peer-messages.js';
import type * as keys from './keys.js';
import * as outcomes from './outcomes.js';
import type * as page from './page.js';

/** Time after the request for a claim within which the claimed request may be sent. */
export const SEND_WINDOW_MS = 5_000;
/** A claim that is not written within this time is refused. */
export const CLAIM_TIMEOUT_MS = 4_000;
/** Time without a reply from a coordinator after which an instance writes the page itself. */
export const COORDINATOR_TIMEOUT_MS = 60;
/** Longest time that a request waits for its outcome to be recorded or its key to be released. */
export const RECORD_ACK_TIMEOUT_MS = 2_000;
/** Covers the skew of wall clocks and the time that a sent request is in flight. */
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
  /** Granted: the request may be sent once. */
  | { kind: 'held' }
  | {
      kind: 'recording';
      requestId: string;
      replyTo: task.Address<messages.ClaimRecorded>;
      operation: RecordOperation;
      isConfirmed: boolean;
    }
  /** Refused before it was granted: the request was never sent, and its key is being released. */
  | { kind: 'releasing' };

export type Attempt = { attemptId: string; place: keys.Location; phase: Phase };
export type Claiming = Extract<Phase, { kind: 'claiming' }>;
export type Recording = Extract<Phase, { kind: 'recording' }>;

/** The response to the request for a claim. */
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

/** Nothing of the request was sent, so it is correct to report it as not run. */
export function unavailable(detail: string): messages.ClaimAnswer {
  return { kind: 'unavailable', failure: results.failure('claimUnavailable', detail) };
}

/** Converts the result of the operation on the page to the response for the requester. */
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
