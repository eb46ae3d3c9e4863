/**
 * The life of one request for a plain service: admission, claim if it has a key, plan, call,
 * record. A request that is not safe is sent once and never again.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as claimRefusal from './claim-refusal.js';
import type * as command from './command.js';
import * as plainState from './plain-state.js';
import * as executionStatus from './execution-status.js';

export type State = plainState.State;
type Step = plainState.Step;
export const { initial } = plainState;

export function decide(state: State, message: messages.ExchangeMessage, now: task.Instant): Step {
  if (state.phase.kind === 'ended') return { state, commands: [] };
  switch (message.type) {
    case 'task.start':
      return {
        state: { ...state, startedAtMs: now.monotonicMs },
        commands: [{ kind: 'ask-admission' }],
      };
    case 'admission.answered':
      return onAdmission(state, message.answer);
    case 'claim.answered':
      return onClaim(state, message.answer);
    case 'placement.decided':
      return onPlan(state, message.decision, now);
    case 'call.answered':
      return onAnswered(state, message.answer, now);
    case 'call.failed':
      return onFailed(state, message.progress, message.failure);
    case 'claim.recorded':
      return onRecorded(state);
    case 'retry-budget.answered':
      return onRetryAnswered(state, message.answer);
    case 'exchange.caller-disconnected':
      return onCancelled(state);
    case 'exchange.timer-fired':
    case 'exchange.flow-control':
    case 'task.drain':
    case 'task.stop':
      return { state, commands: [] };
    case 'run.started':
    case 'run.token':
    case 'run.ended':
    case 'run.failed':
    case 'import.finished':
    case 'import.failed':
      return { state, commands: [{ kind: 'count', name: 'answers.dropped', by: 1 }] };
    default:
      return results.assertNever(message);
  }
}

function onAdmission(state: State, answer: messages.AdmissionAnswer): Step {
  switch (answer.kind) {
    case 'granted':
      return plainState.isSafe(state.request) || state.request.idempotencyKey === undefined
        ? requestPlan(state)
        : requestClaim(state, state.request.idempotencyKey);
    case 'refused':
      return plainState.refuse(state, answer.failure, 'not-run', answer.retryAfterMs);
    default:
      return results.assertNever(answer);
  }
}

function requestClaim(state: State, key: string): Step {
  return {
    state: { ...state, phase: { kind: 'claiming' } },
    commands: [
      {
        kind: 'claim',
        key,
        digest: plainState.fingerprintOf(state.request),
        timeoutMs: state.request.service.timeoutMs,
      },
    ],
  };
}

function onClaim(state: State, answer: messages.ClaimAnswer): Step {
  if (state.phase.kind !== 'claiming') return { state, commands: [] };
  switch (answer.kind) {
    case 'granted': {
      const claimed = { ...state, claim: answer.claim, sendBeforeMs: answer.sendBeforeMs };
      return state.isCancelled ? withdraw(claimed) : requestPlan(claimed);
    }
    case 'recorded':
      return plainState.end(state, [
        {
          kind: 'answer',
          answer: {
            type: 'response.complete',
            requestId: state.request.requestId,
            answer: answer.answer,
            isReplay: true,
          },
        },
      ]);
    case 'in-progress':
    case 'outcome-unknown':
    case 'key-reused':
    case 'key-expired':
    case 'key-from-future':
    case 'answer-not-kept':
    case 'unavailable': {
      const { failure, truth: runTruth, retryAfterMs } = claimRefusal.refusalOf(answer);
      return plainState.refuse(state, failure, runTruth, retryAfterMs);
    }
    default:
      return results.assertNever(answer);
  }
}

function requestPlan(state: State): Step {
  return {
    state: { ...state, phase: { kind: 'planning' }, attempt: state.attempt + 1 },
    commands: [{ kind: 'plan-call', excluded: state.excluded }],
  };
}

function onPlan(state: State, made: messages.PlacementDecision, now: task.Instant): Step {
  if (state.phase.kind !== 'planning') return { state, commands: [] };
  switch (made.kind) {
    case 'placed':
      return state.isCancelled
        ? withdraw(state, [cancelledAt(made.placement.upstream)])
        : call(state, made.placement.upstream, now);
    case 'refused':
      return giveUp(state, made.failure, made.retryAfterMs);
    default:
      return results.assertNever(made);
  }
}

/** A request that was sent is left to end, so that its outcome is known. */
function onCancelled(state: State): Step {
  if (state.phase.kind === 'admission') return plainState.end(state, []);
  return { state: { ...state, isCancelled: true }, commands: [] };
}

/** Ends a request that has not left, for a caller that has gone. */
function withdraw(state: State, commands: readonly command.Command[] = []): Step {
  const failure = results.failure('overloaded', 'the caller went away');
  const answer = plainState.refusalAnswer(state, failure, 'not-run');
  const settled = plainState.recordAndEnd(state, { kind: 'not-run' }, answer);
  return { state: settled.state, commands: [...commands, ...settled.commands] };
}

function cancelledAt(upstream: string): command.Command {
  return { kind: 'report', upstream, outcome: { kind: 'cancelled' } };
}

/** The last moment to notice that this instance was paused past its claim. */
function call(state: State, upstream: string, now: task.Instant): Step {
  if (now.monotonicMs >= state.sendBeforeMs) {
    const failure = results.failure('claimUnavailable', 'the claim lapsed before sending');
    const told = plainState.recordAndEnd(
      state,
      { kind: 'not-run' },
      plainState.refusalAnswer(state, failure, 'not-run'),
    );
    return { state: told.state, commands: [cancelledAt(upstream), ...told.commands] };
  }
  const { request } = state;
  const sent: messages.PlainCall = {
    requestId: request.requestId,
    upstream,
    method: request.method,
    path: request.path,
    headers: request.headers,
    body: request.body,
    timeoutMs: request.service.timeoutMs,
    connection: plainState.isSafe(request) ? 'pooled' : 'new',
  };
  return {
    state: { ...state, phase: { kind: 'calling', upstream } },
    commands: [{ kind: 'call', call: sent }],
  };
}

function onAnswered(state: State, answer: messages.PlainResponse, now: task.Instant): Step {
  if (state.phase.kind !== 'calling') return { state, commands: [] };
  const outcome: messages.PlacementOutcome = {
    kind: 'completed',
    reusedTokens: 0,
    importedTokens: 0,
    firstTokenMs: now.monotonicMs - state.startedAtMs,
  };
  const report: command.Command = { kind: 'report', upstream: state.phase.upstream, outcome };
  const whole: messages.CallerResponse = {
    type: 'response.complete',
    requestId: state.request.requestId,
    answer,
    isReplay: false,
  };
  const settled = plainState.recordAndEnd(state, { kind: 'answered', answer }, whole);
  return { state: settled.state, commands: [report, ...settled.commands] };
}

function onFailed(state: State, reach: messages.SendProgress, failure: results.Failure): Step {
  if (state.phase.kind !== 'calling') return { state, commands: [] };
  const { upstream } = state.phase;
  const report: command.Command = {
    kind: 'report',
    upstream,
    outcome: { kind: 'failed', progress: reach },
  };
  const left: State = {
    ...state,
    truth: executionStatus.executionStatusAfter(state.truth, reach),
    excluded: [...state.excluded, upstream],
    phase: { kind: 'retrying', failure },
  };
  const mayRepeat =
    !state.isCancelled && (plainState.isSafe(state.request) || left.truth === 'not-run');
  if (mayRepeat && state.attempt < plainState.MAX_ATTEMPTS) {
    return { state: left, commands: [report, { kind: 'ask-retry-budget' }] };
  }
  const refused = giveUp(left, failure);
  return { state: refused.state, commands: [report, ...refused.commands] };
}

function onRetryAnswered(state: State, answer: messages.RetryBudgetAnswer): Step {
  if (state.phase.kind !== 'retrying') return { state, commands: [] };
  return answer === 'granted' ? requestPlan(state) : giveUp(state, state.phase.failure);
}

/** Ends a request after its last attempt; the record says the same as the refusal. */
function giveUp(state: State, failure: results.Failure, retryAfterMs?: number): Step {
  const isRun = state.truth !== 'not-run';
  const told =
    isRun && !plainState.isSafe(state.request)
      ? results.failure('outcomeUnknown', results.describe(failure))
      : failure;
  const outcome: messages.RecordedOutcome = { kind: isRun ? 'unknown' : 'not-run' };
  const refusal = plainState.refusalAnswer(state, told, state.truth, retryAfterMs);
  return plainState.recordAndEnd(state, outcome, refusal);
}

/** The caller is told also when the end could not be recorded: what it is told stays true. */
function onRecorded(state: State): Step {
  if (state.phase.kind !== 'recording') return { state, commands: [] };
  const { answer } = state.phase;
  if (answer) return plainState.end(state, [{ kind: 'answer', answer }]);
  return { state: { ...state, phase: { kind: 'ended' } }, commands: [] };
}
