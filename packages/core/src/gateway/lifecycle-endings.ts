/** How a request ends: delivered, refused truthfully, or cut so that it cannot look whole. */
import * as results from '../results/index.js';
import type * as attemptResult from './attempt-result.js';
import type * as lifecycleState from './lifecycle-state.js';

type State = lifecycleState.State;
type Step = lifecycleState.Step;

/** When a caller whose request did not run may come back: the time that a placement needs to change. */
const RETRY_AFTER_MS = 250;

export function onCallerDisconnected(state: State): Step {
  return end(state, { result: 'left', status: 0 }, []);
}

/** The route's or the caller's time is over. */
export function onDeadline(state: State): Step {
  if (state.isHeadSent) return abort(state);
  if (state.failure) return deliver(state, state.failure);
  if (state.possibleRuns > 0) return refuse(state, 'outOfTime', undefined);
  return refuse(state, 'notStartedInTime', RETRY_AFTER_MS);
}

/** No further attempt will be made. The code stands for the case that the request surely did not run. */
export function giveUp(state: State, code: 'noUpstream' | 'retriesExhausted' | 'answerLost'): Step {
  if (state.isHeadSent) return abort(state);
  if (state.failure) return deliver(state, state.failure);
  if (state.possibleRuns > 0) return refuse(state, 'answerLost', undefined);
  return refuse(state, code === 'answerLost' ? 'noUpstream' : code, RETRY_AFTER_MS);
}

function refuse(
  state: State,
  code: 'outOfTime' | 'notStartedInTime' | 'noUpstream' | 'retriesExhausted' | 'answerLost',
  retryAfterMs: number | undefined,
): Step {
  const { status } = results.resultCodes[code];
  const detail = results.describe(results.failure(code, state.lastFailureReason));
  return end(state, { result: code, status }, [
    { kind: 'reply', reply: { type: 'reply.refuse', status, detail, retryAfterMs } },
  ]);
}

function abort(state: State): Step {
  return end(state, { result: 'cut', status: 0 }, [
    { kind: 'reply', reply: { type: 'reply.abort' } },
  ]);
}

/** Hands on an upstream's answer. A stream whose head is out ends here; another answer cannot follow. */
export function deliver(state: State, ended: attemptResult.Result): Step {
  if (ended.kind !== 'answered') return abort(state);
  const { head, body } = ended;
  if (!state.isHeadSent) {
    return end(state, { result: 'answered', status: head.status }, [
      { kind: 'reply', reply: { type: 'reply.complete', head, body } },
    ]);
  }
  if (head.status >= 300) return abort(state);
  return end(state, { result: 'answered', status: head.status }, [
    { kind: 'reply', reply: { type: 'reply.end' } },
  ]);
}

/** Ends the request; an attempt that is still under way is aborted. */
function end(
  state: State,
  ended: Omit<lifecycleState.RequestOutcome, 'reason'>,
  replies: readonly lifecycleState.Command[],
): Step {
  const { phase } = state;
  const attempt =
    phase.kind === 'attempting' || phase.kind === 'asking' ? phase.attempt : undefined;
  const aborted: readonly lifecycleState.Command[] = attempt
    ? [
        { kind: 'abort', attempt: attempt.id },
        { kind: 'report', attempt, outcome: 'cancelled' },
      ]
    : [];
  return {
    state: { ...state, phase: { kind: 'ended' } },
    commands: [
      ...replies,
      ...aborted,
      { kind: 'record-request-end', outcome: { ...ended, reason: state.lastFailureReason } },
    ],
  };
}

/** What the fleet learns from the end of an attempt. */
export function outcomeOf(ended: attemptResult.Result): lifecycleState.AttemptOutcome {
  switch (ended.kind) {
    case 'unsent':
      return ended.reason === 'unreachable' ? 'unreachable' : 'no-connection';
    case 'rejected':
      return 'rejected';
    case 'broken':
      return 'broken';
    case 'answered':
      return ended.head.status >= 500 ? 'failed' : 'answered';
    default:
      return results.assertNever(ended);
  }
}

export function describeResult(ended: attemptResult.Result): string {
  switch (ended.kind) {
    case 'unsent':
      return `not sent: ${ended.reason}: ${ended.detail}`;
    case 'rejected':
      return `rejected with ${ended.status}`;
    case 'broken':
      return `${ended.reason}: ${ended.detail}`;
    case 'answered':
      return `answered ${ended.head.status}`;
    default:
      return results.assertNever(ended);
  }
}
