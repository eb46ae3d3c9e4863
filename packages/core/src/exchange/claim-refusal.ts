/** What a caller is told whose claim was not granted, and whether its request may have run. */
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';

/** Answers of the claims task that end a request without sending it. */
export type RefusedAnswer = Exclude<messages.ClaimAnswer, { kind: 'granted' | 'recorded' }>;

export type Refusal = {
  failure: results.Failure;
  truth: results.ExecutionStatus;
  retryAfterMs?: number;
};

/** What a caller waits before it retries with the same key while the platform is down. */
const CLAIM_RETRY_AFTER_MS = 2_000;

export function refusalOf(answer: RefusedAnswer): Refusal {
  switch (answer.kind) {
    case 'in-progress':
      return told('inProgress', 'another attempt holds the key', 'unknown');
    case 'outcome-unknown':
      return told('outcomeUnknown', 'an earlier attempt broke off', 'unknown');
    case 'key-reused':
      return told('keyReused', 'the request differs', 'not-run');
    case 'key-expired':
      return told('keyExpired', 'the key is too old', 'not-run');
    case 'key-from-future':
      return told('keyFromFuture', 'the key carries a later time', 'not-run');
    case 'answer-not-kept':
      return told('answerNotKept', `status ${answer.status}`, 'ran');
    case 'unavailable':
      return { failure: answer.failure, truth: 'not-run', retryAfterMs: CLAIM_RETRY_AFTER_MS };
    default:
      return results.assertNever(answer);
  }
}

function told(code: results.CodeName, detail: string, truth: results.ExecutionStatus): Refusal {
  return { failure: results.failure(code, detail), truth };
}
