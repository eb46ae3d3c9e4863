/**
 * Lifecycle of one prompt: admission, placement, import, run, and resumption of a run that breaks
 * off. Tokens are matched by run id and offset, so the caller's stream has no gap and no duplicate.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as command from './command.js';
import * as promptPlan from './prompt-plan.js';
import * as promptRetry from './prompt-retry.js';
import * as promptState from './prompt-state.js';

export type State = promptState.State;
type Step = promptState.Step;

export function decide(state: State, message: messages.ExchangeMessage, now: task.Instant): Step {
  if (state.phase.kind === 'ended') return { state, commands: [] };
  if (state.phase.kind === 'withdrawing' && message.type !== 'placement.decided') {
    return { state, commands: [] };
  }
  switch (message.type) {
    case 'task.start':
      return begin(state, now);
    case 'admission.answered':
      return onAdmission(state, message.answer);
    case 'placement.decided':
      return promptPlan.onPlan(state, message.decision);
    case 'import.finished':
      return promptPlan.onImported(state, message);
    case 'import.failed':
      return message.runId === promptState.runIdOf(state)
        ? promptPlan.startRun(state, [])
        : promptState.dropLateMessage(state, message.type);
    case 'run.started':
      return onStarted(state, message);
    case 'run.token':
      return onToken(state, message, now);
    case 'run.ended':
      return onEnded(state, message);
    case 'run.failed':
      return message.runId === promptState.runIdOf(state)
        ? promptRetry.onRunInterrupted(state, results.describe(message.failure), message.progress)
        : promptState.dropLateMessage(state, message.type);
    case 'exchange.caller-disconnected':
      return onCancelled(state);
    case 'exchange.timer-fired':
      return onTimeout(state, message.timer);
    case 'exchange.flow-control':
      return onFlow(state, message.flow);
    case 'retry-budget.answered':
      return promptRetry.onRetryAnswered(state, message.answer);
    case 'task.drain':
    case 'task.stop':
      return { state, commands: [] };
    case 'call.answered':
    case 'call.failed':
    case 'claim.answered':
    case 'claim.recorded':
      return promptState.dropLateMessage(state, message.type);
    default:
      return results.assertNever(message);
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
      return promptPlan.requestPlan(state);
    case 'refused':
      return promptState.refuse(state, answer.failure, answer.retryAfterMs);
    default:
      return results.assertNever(answer);
  }
}

function onStarted(
  state: State,
  message: Extract<messages.RunReport, { type: 'run.started' }>,
): Step {
  if (message.runId !== promptState.runIdOf(state)) {
    return promptState.dropLateMessage(state, message.type);
  }
  const isFirst = state.usage.promptTokens === 0;
  const usage = {
    ...state.usage,
    promptTokens: message.promptTokens,
    cachedTokens: message.reusedTokens + message.importedTokens,
  };
  const started: command.Command = {
    kind: 'answer',
    answer: { type: 'response.started', requestId: state.request.requestId },
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
  const { phase } = state;
  const isNext = message.runId === promptState.runIdOf(state) && message.offset === state.offset;
  if (!isNext || phase.kind !== 'running') return promptState.dropLateMessage(state, message.type);
  const { requestId, service } = state.request;
  return {
    state: {
      ...state,
      phase: { ...phase, reconnects: 0 },
      truth: 'ran',
      offset: state.offset + 1,
      answered: state.answered + message.text,
      firstTokenAtMs: state.firstTokenAtMs ?? now.monotonicMs,
    },
    commands: [
      {
        kind: 'answer',
        answer: { type: 'response.token', requestId, offset: message.offset, text: message.text },
      },
      state.flow === 'open'
        ? { kind: 'schedule', timer: 'progress', delayMs: service.progressTimeoutMs }
        : { kind: 'unschedule', timer: 'progress' },
      { kind: 'unschedule', timer: 'deadline' },
    ],
  };
}

function onEnded(state: State, message: Extract<messages.RunReport, { type: 'run.ended' }>): Step {
  if (state.phase.kind !== 'running' || message.runId !== promptState.runIdOf(state)) {
    return promptState.dropLateMessage(state, message.type);
  }
  if (message.tokens !== state.offset) {
    return promptRetry.onRunInterrupted(state, 'the end came before the last token');
  }
  return promptState.complete(state, state.phase.placement.upstream, message.finish);
}

/** Pauses the engine's stream while the caller does not read, so that no buffer grows here. */
function onFlow(state: State, flow: messages.FlowControl): Step {
  const changed = { ...state, flow };
  if (state.phase.kind !== 'running') return { state: changed, commands: [] };
  const { upstream } = state.phase.placement;
  return { state: changed, commands: promptState.flowCommands(changed, upstream) };
}

function onCancelled(state: State): Step {
  return promptState.end(state, cleanUp(state));
}

/** Cancels the run at the engine and reports the placement to routing as cancelled. */
function cleanUp(state: State): readonly command.Command[] {
  const { phase } = state;
  if (phase.kind !== 'running' && phase.kind !== 'importing') return [];
  const { upstream } = phase.placement;
  return [
    { kind: 'cancel', runId: promptState.runIdOf(state), upstream },
    { kind: 'report', upstream, outcome: { kind: 'cancelled' } },
  ];
}

function onTimeout(state: State, timer: messages.ExchangeTimer): Step {
  switch (timer) {
    case 'progress':
      return promptRetry.onRunStalled(state);
    case 'deadline':
      return onDeadline(state);
    case 'hedge':
    case 'retry':
      return { state, commands: [] };
    default:
      return results.assertNever(timer);
  }
}

function onDeadline(state: State): Step {
  if (state.offset > state.request.offset) return { state, commands: [] };
  const failure = results.failure('deadlineUnreachable', 'no first token before the deadline');
  const isSent = state.phase.kind === 'running';
  const updated: State = isSent
    ? { ...state, truth: promptRetry.executionStatusIfSent(state) }
    : state;
  const refused = promptState.refuse(updated, failure);
  return { state: refused.state, commands: [...cleanUp(state), ...refused.commands] };
}
