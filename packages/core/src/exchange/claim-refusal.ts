/** Maps a claim that was not granted to the caller's refusal and the request's execution status. */
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';

/** Responses of the claims task that end a request without sending it. */
export type RefusedAnswer = Exclude<messages.ClaimAnswer, { kind: 'granted' | 'recorded' }>;

export type Refusal = {
  failure: results.Failure;
  truth: results.ExecutionStatus;
  retryAfterMs?: number;
};

/** Retry delay for a caller with the same key while the platform is unavailable. */
const CLAIM_RETRY_AFTER_MS = 2_000;

export function refusalOf(answer: RefusedAnswer): Refusal {
  switch (answer.kind) {
    case 'in-progress':
      return refusal('inProgress', 'another attempt holds the key', 'unknown');
    case 'outcome-unknown':
      return refusal('outcomeUnknown', 'an earlier attempt broke off', 'unknown');
    case 'key-reused':
      return refusal('keyReused', 'the request differs', 'not-run');
    case 'key-expired':
      return refusal('keyExpired', 'the key is too old', 'not-run');
    case 'key-from-future':
      return refusal('keyFromFuture', 'the key carries a later time', 'not-run');
    case 'answer-not-kept':
      return refusal('answerNotKept', `status ${answer.status}`, 'ran');
    case 'unavailable':
      return { failure: answer.failure, truth: 'not-run', retryAfterMs: CLAIM_RETRY_AFTER_MS };
    default:
      return results.assertNever(answer);
  }
}

function refusal(
  code: results.CodeName,
  detail: string,
  executionStatus: results.ExecutionStatus,
): Refusal {
  return { failure: results.failure(code, detail), truth: executionStatus };
}
