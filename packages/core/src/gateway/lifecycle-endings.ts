/** How a request ends: delivered, refused truthfully, or cut so that it cannot look whole. */
import * as results from '../results/index.js';
import type * as answers from './answers.js';
import type * as lifecycle from './lifecycle-state.js';

type State = lifecycle.State;
type Step = lifecycle.Step;

/** When a caller whose request did not run may come back: the time that a placement needs to change. */
const RETRY_AFTER_MS = 250;

export function callerLeft(state: State): Step {
  return end(state, { result: 'left', status: 0 }, []);
}

/** The route's or the caller's time is over. */
export function outOfTime(state: State): Step {
  if (state.isHeadSent) return cut(state);
  if (state.failure) return deliver(state, state.failure);
  if (state.runs > 0) return refuse(state, 'outOfTime', undefined);
  return refuse(state, 'notStartedInTime', RETRY_AFTER_MS);
}

/** No further attempt will be made. The code stands for the case that the request surely did not run. */
export function giveUp(state: State, code: 'noUpstream' | 'retriesExhausted' | 'answerLost'): Step {
  if (state.isHeadSent) return cut(state);
  if (state.failure) return deliver(state, state.failure);
  if (state.runs > 0) return refuse(state, 'answerLost', undefined);
  return refuse(state, code === 'answerLost' ? 'noUpstream' : code, RETRY_AFTER_MS);
}

function refuse(
  state: State,
  code: 'outOfTime' | 'notStartedInTime' | 'noUpstream' | 'retriesExhausted' | 'answerLost',
  retryAfterMs: number | undefined,
): Step {
  const { status } = results.resultCodes[code];
  const detail = results.describe(results.failure(code, state.lastReason));
  return end(state, { result: code, status }, [
    { kind: 'reply', reply: { type: 'reply.refuse', status, detail, retryAfterMs } },
  ]);
}

function cut(state: State): Step {
  return end(state, { result: 'cut', status: 0 }, [
    { kind: 'reply', reply: { type: 'reply.cut' } },
  ]);
}

/** Hands on an upstream's answer. A stream whose head is out ends here; another answer cannot follow. */
export function deliver(state: State, ended: answers.AttemptEnd): Step {
  if (ended.kind !== 'answered') return cut(state);
  const { head, body } = ended;
  if (!state.isHeadSent) {
    return end(state, { result: 'answered', status: head.status }, [
      { kind: 'reply', reply: { type: 'reply.whole', head, body } },
    ]);
  }
  if (head.status >= 300) return cut(state);
  return end(state, { result: 'answered', status: head.status }, [
    { kind: 'reply', reply: { type: 'reply.end' } },
  ]);
}

/** Ends the request; an attempt that is still under way is aborted. */
function end(
  state: State,
  ended: Omit<lifecycle.EndOutcome, 'reason'>,
  replies: readonly lifecycle.Command[],
): Step {
  const { phase } = state;
  const attempt =
    phase.kind === 'attempting' || phase.kind === 'asking' ? phase.attempt : undefined;
  const aborted: readonly lifecycle.Command[] = attempt
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
      { kind: 'note-end', outcome: { ...ended, reason: state.lastReason } },
    ],
  };
}

/** What the fleet learns from the end of an attempt. */
export function outcomeOf(ended: answers.AttemptEnd): lifecycle.Outcome {
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

export function describeEnd(ended: answers.AttemptEnd): string {
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
