/** State of one request for a plain service, and the steps that end it. */
import * as crypto from 'node:crypto';

import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import type * as results from '../results/index.js';
import type * as command from './command.js';

/** Attempts for a request that may be retried, including the first. */
export const MAX_ATTEMPTS = 3;

export type PlainRequest = Extract<messages.CallerRequest, { kind: 'plain' }>;

type Phase =
  | { kind: 'admission' }
  | { kind: 'claiming' }
  | { kind: 'planning' }
  | { kind: 'calling'; upstream: string }
  /** Waits for the retry budget. */
  | { kind: 'retrying'; failure: results.Failure }
  /** `answer`: sent to the caller once the outcome is recorded; `undefined` if sent before. */
  | { kind: 'recording'; answer: messages.CallerResponse | undefined }
  | { kind: 'ended' };

export type State = {
  request: PlainRequest;
  phase: Phase;
  claim: messages.Claim | undefined;
  /** Monotonic time from which a claimed request may no longer be sent. */
  sendBeforeMs: number;
  attempt: number;
  excluded: readonly string[];
  startedAtMs: number;
  /** Execution status over all attempts so far. */
  truth: results.ExecutionStatus;
  /** The caller disconnected: no further step is started. */
  isCancelled: boolean;
};

export type Step = task.Step<State, command.Command>;

export function initial(request: PlainRequest): State {
  return {
    request,
    phase: { kind: 'admission' },
    claim: undefined,
    sendBeforeMs: Infinity,
    attempt: 0,
    excluded: [],
    startedAtMs: 0,
    truth: 'not-run',
    isCancelled: false,
  };
}

/** A request with a safe method may be retried even if it may have run; no other request may. */
export function isSafe(request: PlainRequest): boolean {
  return request.service.safeMethods.includes(request.method);
}

export function fingerprintOf(request: PlainRequest): string {
  return crypto
    .createHash('sha256')
    .update(`${request.service.name}\n${request.method}\n${request.path}\n`)
    .update(request.body)
    .digest('hex');
}

/**
 * Ends the request and records the outcome if it has a claim. A response is sent without waiting
 * for the record; a "not run" refusal, which invites a retry, waits until the key is free again.
 */
export function recordAndEnd(
  state: State,
  outcome: messages.RecordedOutcome,
  answer: messages.CallerResponse,
): Step {
  if (!state.claim) return end(state, [{ kind: 'answer', answer }]);
  const record: command.Command = { kind: 'record', claim: state.claim, outcome };
  if (outcome.kind === 'not-run') {
    return { state: { ...state, phase: { kind: 'recording', answer } }, commands: [record] };
  }
  return {
    state: { ...state, phase: { kind: 'recording', answer: undefined } },
    commands: [record, { kind: 'answer', answer }, { kind: 'release-admission' }],
  };
}

export function refusalAnswer(
  state: State,
  failure: results.Failure,
  executionStatus: results.ExecutionStatus,
  retryAfterMs?: number,
): messages.CallerResponse {
  const { requestId } = state.request;
  return { type: 'response.refused', requestId, failure, truth: executionStatus, retryAfterMs };
}

export function refuse(
  state: State,
  failure: results.Failure,
  executionStatus: results.ExecutionStatus,
  retryAfterMs?: number,
): Step {
  return end(state, [
    { kind: 'answer', answer: refusalAnswer(state, failure, executionStatus, retryAfterMs) },
    { kind: 'count', name: 'requests.refused', by: 1 },
  ]);
}

export function end(state: State, commands: readonly command.Command[]): Step {
  return {
    state: { ...state, phase: { kind: 'ended' } },
    commands: [...commands, { kind: 'release-admission' }],
  };
}
