/** What waits on a page, what the claims task is asked to do, and the answers that it sends. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as page from './page.js';

export type Waiting =
  | {
      operation: Extract<page.Operation, { kind: 'claim' }>;
      replyTo: task.Address<messages.ClaimAnswered>;
    }
  | {
      operation: Extract<page.Operation, { kind: 'record' }>;
      replyTo: task.Address<messages.ClaimRecorded>;
    };

export type Command =
  | { kind: 'read'; key: string }
  | { kind: 'write'; key: string; expectedVersion: number; value: page.Page; writeId: string }
  | {
      kind: 'answer';
      replyTo: task.Address<messages.ClaimAnswered>;
      message: messages.ClaimAnswered;
    }
  | {
      kind: 'confirm';
      replyTo: task.Address<messages.ClaimRecorded>;
      message: messages.ClaimRecorded;
    }
  /** Nothing more is held; the instance may stop. */
  | { kind: 'left' };

export function reply(waiting: Waiting, applied: page.Applied, sendBeforeMs: number): Command {
  const { requestId } = waiting.operation;
  if (waiting.operation.kind === 'record') {
    const isDurable = applied.kind === 'noted';
    const message: messages.ClaimRecorded = { type: 'claim.recorded', requestId, isDurable };
    return {
      kind: 'confirm',
      replyTo: waiting.replyTo as task.Address<messages.ClaimRecorded>,
      message,
    };
  }
  const answer = answerOf(applied, waiting.operation.claim, sendBeforeMs);
  const message: messages.ClaimAnswered = { type: 'claim.answered', requestId, answer };
  return {
    kind: 'answer',
    replyTo: waiting.replyTo as task.Address<messages.ClaimAnswered>,
    message,
  };
}

function answerOf(
  applied: page.Applied,
  claim: messages.Claim,
  sendBeforeMs: number,
): messages.ClaimAnswer {
  switch (applied.kind) {
    case 'granted':
      return { kind: 'granted', claim, sendBeforeMs };
    case 'recorded':
    case 'in-progress':
    case 'outcome-unknown':
    case 'key-reused':
      return applied;
    case 'noted':
    case 'overtaken':
      return { kind: 'unavailable', failure: results.failure('claimUnavailable', applied.kind) };
    default:
      return results.never(applied);
  }
}

export function refuse(waiting: Waiting): Command {
  const { requestId } = waiting.operation;
  if (waiting.operation.kind === 'record') {
    const message: messages.ClaimRecorded = { type: 'claim.recorded', requestId, isDurable: false };
    return {
      kind: 'confirm',
      replyTo: waiting.replyTo as task.Address<messages.ClaimRecorded>,
      message,
    };
  }
  const failure = results.failure('claimUnavailable', 'the platform did not answer');
  const answer: messages.ClaimAnswer = { kind: 'unavailable', failure };
  const message: messages.ClaimAnswered = { type: 'claim.answered', requestId, answer };
  return {
    kind: 'answer',
    replyTo: waiting.replyTo as task.Address<messages.ClaimAnswered>,
    message,
  };
}
