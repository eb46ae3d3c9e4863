/**
 * The life of one prompt: admission, plan, import, run, and resumption when a run breaks off.
 * The caller's stream has no gap and no repetition: tokens are matched by run id and offset.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as command from './command.js';
import * as promptPlan from './prompt-plan.js';
import * as promptState from './prompt-state.js';
import * as truth from './truth.js';

export type State = promptState.State;
type Step = promptState.Step;

export function decide(state: State, message: messages.ExchangeMessage, now: task.Instant): Step {
  if (state.phase.kind === 'ended') return { state, commands: [] };
  switch (message.type) {
    case 'task.start':
      return begin(state, now);
    case 'admission.answered':
      return onAdmission(state, message.answer);
    case 'plan.made':
      return promptPlan.onPlan(state, message.plan);
    case 'import.finished':
      return promptPlan.onImported(state, message);
    case 'import.failed':
      return message.runId === promptState.runId(state)
        ? promptPlan.run(state, [])
        : promptState.drop(state, message.type);
    case 'run.started':
      return onStarted(state, message);
    case 'run.token':
      return onToken(state, message, now);
    case 'run.ended':
      return onEnded(state, message, now);
    case 'run.failed':
      return message.runId === promptState.runId(state)
        ? onBroken(state, message)
        : promptState.drop(state, message.type);
    case 'exchange.cancelled':
      return onCancelled(state);
    case 'exchange.timeout':
      return onTimeout(state, message.timer);
    case 'exchange.flow':
    case 'task.leave':
    case 'task.stop':
      return { state, commands: [] };
    case 'call.answered':
    case 'call.failed':
    case 'claim.answered':
    case 'claim.recorded':
      return promptState.drop(state, message.type);
    default:
      return results.never(message);
  }
}

function begin(state: State, now: task.Instant): Step {
  return {
    state: { ...state, startedAtMs: now.monotonicMs },
    commands: [
      { kind: 'ask-admission' },
      { kind: 'schedule', timer: 'deadline', delayMs: state.request.service.deadlineMs },
    ],
  };
}

function onAdmission(state: State, answer: messages.AdmissionAnswer): Step {
  switch (answer.kind) {
    case 'granted':
      return promptPlan.plan(state);
    case 'refused':
      return promptState.refuse(state, answer.failure, 'not-run', answer.retryAfterMs);
    default:
      return results.never(answer);
  }
}

function onStarted(
  state: State,
  message: Extract<messages.RunReport, { type: 'run.started' }>,
): Step {
  if (message.runId !== promptState.runId(state)) return promptState.drop(state, message.type);
  const isFirst = state.usage.promptTokens === 0;
  const usage = {
    ...state.usage,
    promptTokens: message.promptTokens,
    cachedTokens: message.reusedTokens + message.importedTokens,
  };
  const started: command.Command = {
    kind: 'answer',
    answer: { type: 'answer.started', requestId: state.request.requestId },
  };
  return {
    state: { ...state, usage, importedTokens: message.importedTokens },
    commands: isFirst ? [started] : [],
  };
}

function onToken(
  state: State,
  message: Extract<messages.RunReport, { type: 'run.token' }>,
  now: task.Instant,
): Step {
  const isNext = message.runId === promptState.runId(state) && message.offset === state.offset;
  if (!isNext) return promptState.drop(state, message.type);
  const { requestId, service } = state.request;
  return {
    state: {
      ...state,
      offset: state.offset + 1,
      answered: state.answered + message.text,
      firstTokenAtMs: state.firstTokenAtMs ?? now.monotonicMs,
    },
    commands: [
      {
        kind: 'answer',
        answer: { type: 'answer.token', requestId, offset: message.offset, text: message.text },
      },
      { kind: 'schedule', timer: 'progress', delayMs: service.progressTimeoutMs },
      { kind: 'unschedule', timer: 'deadline' },
    ],
  };
}

function onEnded(
  state: State,
  message: Extract<messages.RunReport, { type: 'run.ended' }>,
  now: task.Instant,
): Step {
  if (state.phase.kind !== 'running' || message.runId !== promptState.runId(state)) {
    return promptState.drop(state, message.type);
  }
  if (message.tokens !== state.offset) return replan(state, 'the end came before the last token');
  const usage = { ...state.usage, completionTokens: state.offset };
  const outcome: messages.Outcome = {
    kind: 'completed',
    reusedTokens: usage.cachedTokens - state.importedTokens,
    importedTokens: state.importedTokens,
    firstTokenMs: (state.firstTokenAtMs ?? now.monotonicMs) - state.startedAtMs,
  };
  const { requestId } = state.request;
  return promptState.end({ ...state, usage }, [
    { kind: 'report', upstream: state.phase.placement.upstream, outcome },
    {
      kind: 'answer',
      answer: { type: 'answer.ended', requestId, finish: message.finish, usage },
    },
    { kind: 'count', name: 'requests.ended', by: 1 },
    { kind: 'note', name: 'requestEnded', details: { tokens: state.offset, ...usage } },
  ]);
}

/** A broken run goes on where it stood if the engine still has it, or else at another replica. */
function onBroken(
  state: State,
  message: Extract<messages.RunReport, { type: 'run.failed' }>,
): Step {
  return replan(state, results.describe(message.failure), message.reach);
}

function replan(state: State, reason: string, reach: messages.Reach = { kind: 'answering' }): Step {
  if (state.phase.kind !== 'running') return promptState.drop(state, 'run.failed');
  const { upstream } = state.phase.placement;
  const report: command.Command = {
    kind: 'report',
    upstream,
    outcome: { kind: 'failed', reach },
  };
  const own = state.offset > state.request.offset ? 'ran' : truth.truthOf(reach);
  const runTruth = truth.truthOfBoth(state.runTruth, own);
  if (state.attempt >= promptState.MAX_ATTEMPTS) {
    const failure = results.failure('runLost', reason);
    const refused = promptState.refuse(state, failure, runTruth, undefined);
    return { state: refused.state, commands: [report, ...refused.commands] };
  }
  const next = promptPlan.plan({
    ...state,
    runTruth,
    excluded: [...state.excluded, upstream],
  });
  return {
    state: next.state,
    commands: [
      report,
      { kind: 'cancel', runId: promptState.runId(state), upstream },
      { kind: 'note', name: 'runResumed', details: { offset: state.offset, reason } },
      ...next.commands,
    ],
  };
}

function onCancelled(state: State): Step {
  if (state.phase.kind !== 'running') return promptState.end(state, []);
  const { upstream } = state.phase.placement;
  return promptState.end(state, [
    { kind: 'cancel', runId: promptState.runId(state), upstream },
    { kind: 'report', upstream, outcome: { kind: 'cancelled' } },
  ]);
}

function onTimeout(state: State, timer: messages.ExchangeTimer): Step {
  switch (timer) {
    case 'progress':
      return replan(state, 'no progress in time');
    case 'deadline':
      return onDeadline(state);
    case 'hedge':
    case 'retry':
      return { state, commands: [] };
    default:
      return results.never(timer);
  }
}

function onDeadline(state: State): Step {
  if (state.offset > state.request.offset) return { state, commands: [] };
  const failure = results.failure('deadlineUnreachable', 'no first token before the deadline');
  const cancelled = onCancelled(state);
  const own = state.phase.kind === 'running' ? 'unknown' : 'not-run';
  const refused = promptState.refuse(state, failure, truth.truthOfBoth(state.runTruth, own));
  const cleanUp = cancelled.commands.filter(({ kind }) => kind === 'cancel' || kind === 'report');
  return { state: refused.state, commands: [...cleanUp, ...refused.commands] };
}
