/**
 * Lifecycle of one request for a plain service: admission, claim if it has an idempotency key,
 * placement, call, record. A request with an unsafe method is not sent again once it may have run.
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
export const { initial, isSafe } = plainState;

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
      const { failure, truth, retryAfterMs } = claimRefusal.refusalOf(answer);
      return plainState.refuse(state, failure, truth, retryAfterMs);
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

function onPlan(state: State, decision: messages.PlacementDecision, now: task.Instant): Step {
  if (state.phase.kind !== 'planning') return { state, commands: [] };
  switch (decision.kind) {
    case 'placed':
      return state.isCancelled
        ? withdraw(state, [cancelledAt(decision.placement.upstream)])
        : call(state, decision.placement.upstream, now);
    case 'refused':
      return giveUp(state, decision.failure, decision.retryAfterMs);
    default:
      return results.assertNever(decision);
  }
}

/** Lets a request that was sent run to its end, so that its outcome is known. */
function onCancelled(state: State): Step {
  if (state.phase.kind === 'admission') return plainState.end(state, []);
  return { state: { ...state, isCancelled: true }, commands: [] };
}

/** Ends a request that has not been sent, after its caller disconnected. */
function withdraw(state: State, commands: readonly command.Command[] = []): Step {
  const failure = results.failure('overloaded', 'the caller went away');
  const answer = plainState.refusalAnswer(state, failure, 'not-run');
  const step = plainState.recordAndEnd(state, { kind: 'not-run' }, answer);
  return { state: step.state, commands: [...commands, ...step.commands] };
}

function cancelledAt(upstream: string): command.Command {
  return { kind: 'report', upstream, outcome: { kind: 'cancelled' } };
}

/** Sends the request, unless this instance was paused until after its claim expired. */
function call(state: State, upstream: string, now: task.Instant): Step {
  if (now.monotonicMs >= state.sendBeforeMs) {
    const failure = results.failure('claimUnavailable', 'the claim lapsed before sending');
    const refused = plainState.recordAndEnd(
      state,
      { kind: 'not-run' },
      plainState.refusalAnswer(state, failure, 'not-run'),
    );
    return { state: refused.state, commands: [cancelledAt(upstream), ...refused.commands] };
  }
  const { request } = state;
  const outgoing: messages.PlainCall = {
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
    commands: [{ kind: 'call', call: outgoing }],
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
  const response: messages.CallerResponse = {
    type: 'response.complete',
    requestId: state.request.requestId,
    answer,
    isReplay: false,
  };
  const step = plainState.recordAndEnd(state, { kind: 'answered', answer }, response);
  return { state: step.state, commands: [report, ...step.commands] };
}

function onFailed(state: State, progress: messages.SendProgress, failure: results.Failure): Step {
  if (state.phase.kind !== 'calling') return { state, commands: [] };
  const { upstream } = state.phase;
  const report: command.Command = {
    kind: 'report',
    upstream,
    outcome: { kind: 'failed', progress },
  };
  const next: State = {
    ...state,
    truth: executionStatus.executionStatusAfter(state.truth, progress),
    excluded: [...state.excluded, upstream],
    phase: { kind: 'retrying', failure },
  };
  const mayRetry =
    !state.isCancelled && (plainState.isSafe(state.request) || next.truth === 'not-run');
  if (mayRetry && state.attempt < plainState.MAX_ATTEMPTS) {
    return { state: next, commands: [report, { kind: 'ask-retry-budget' }] };
  }
  const refused = giveUp(next, failure);
  return { state: refused.state, commands: [report, ...refused.commands] };
}

function onRetryAnswered(state: State, answer: messages.RetryBudgetAnswer): Step {
  if (state.phase.kind !== 'retrying') return { state, commands: [] };
  return answer === 'granted' ? requestPlan(state) : giveUp(state, state.phase.failure);
}

/** Ends a request after its last attempt and records the same outcome as the refusal reports. */
function giveUp(state: State, failure: results.Failure, retryAfterMs?: number): Step {
  const mayHaveRun = state.truth !== 'not-run';
  const reported =
    mayHaveRun && !plainState.isSafe(state.request)
      ? results.failure('outcomeUnknown', results.describe(failure))
      : failure;
  const outcome: messages.RecordedOutcome = { kind: mayHaveRun ? 'unknown' : 'not-run' };
  const refusal = plainState.refusalAnswer(state, reported, state.truth, retryAfterMs);
  return plainState.recordAndEnd(state, outcome, refusal);
}

/** Answers the caller even if the outcome could not be recorded: the answer is true either way. */
function onRecorded(state: State): Step {
  if (state.phase.kind !== 'recording') return { state, commands: [] };
  const { answer } = state.phase;
  if (answer) return plainState.end(state, [{ kind: 'answer', answer }]);
  return { state: { ...state, phase: { kind: 'ended' } }, commands: [] };
}
