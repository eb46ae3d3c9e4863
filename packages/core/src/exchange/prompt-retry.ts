/**
 * Recovery of a run that breaks off or stalls: first a new connection to the same engine, which may
 * still have the run, then another replica, within the retry budget.
 */
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as command from './command.js';
import * as promptPlan from './prompt-plan.js';
import * as promptState from './prompt-state.js';
import * as executionStatus from './execution-status.js';

type State = promptState.State;
type Step = promptState.Step;

/** Reconnections to one engine without a token in between. */
const MAX_RECONNECTS = 1;

/** Also replaces idle connections: if one stalled, older ones to the upstream may be dead too. */
export function onRunStalled(state: State): Step {
  if (state.phase.kind !== 'running') return { state, commands: [] };
  const { upstream } = state.phase.placement;
  const step = onRunInterrupted(state, 'no progress in time', { kind: 'sent' });
  return {
    state: step.state,
    commands: [{ kind: 'replace-connections', upstream }, ...step.commands],
  };
}

export function onRunInterrupted(
  state: State,
  reason: string,
  progress: messages.SendProgress = { kind: 'responding' },
): Step {
  const { phase } = state;
  if (phase.kind !== 'running') return promptState.dropLateMessage(state, 'run.failed');
  const { upstream } = phase.placement;
  const hasAllTokens = state.offset >= state.request.maxTokens;
  if (hasAllTokens) return promptState.complete(state, upstream, 'length');
  const updated: State = {
    ...state,
    truth: executionStatus.executionStatusAfter(state.truth, progress),
  };
  const isKnownToEngine = progress.kind === 'responding' || progress.kind === 'sent';
  return isKnownToEngine && phase.reconnects < MAX_RECONNECTS
    ? resume(updated, phase, reason)
    : abandonRun(updated, phase, reason, progress);
}

type Running = Extract<State['phase'], { kind: 'running' }>;

function resume(state: State, phase: Running, reason: string): Step {
  const { upstream } = phase.placement;
  const runId = promptState.runIdOf(state);
  return {
    state: { ...state, phase: { ...phase, reconnects: phase.reconnects + 1 } },
    commands: [
      { kind: 'resume', runId, upstream, offset: state.offset },
      ...promptState.flowCommands(state, upstream),
      {
        kind: 'record-event',
        name: 'runResumed',
        details: { offset: state.offset, reason, upstream },
      },
    ],
  };
}

/** Abandons the engine and asks the retry budget for an attempt at another one. */
function abandonRun(
  state: State,
  phase: Running,
  reason: string,
  progress: messages.SendProgress,
): Step {
  const { upstream } = phase.placement;
  const commands: readonly command.Command[] = [
    { kind: 'report', upstream, outcome: { kind: 'failed', progress } },
    { kind: 'cancel', runId: promptState.runIdOf(state), upstream },
    { kind: 'unschedule', timer: 'progress' },
  ];
  const excluded = [...state.excluded, upstream];
  const next: State = { ...state, excluded, phase: { kind: 'retrying', reason } };
  if (state.attempt < promptState.MAX_ATTEMPTS) {
    return { state: next, commands: [...commands, { kind: 'ask-retry-budget' }] };
  }
  const refused = promptState.refuse(next, results.failure('runLost', reason));
  return { state: refused.state, commands: [...commands, ...refused.commands] };
}

export function onRetryAnswered(state: State, answer: messages.RetryBudgetAnswer): Step {
  if (state.phase.kind !== 'retrying') return { state, commands: [] };
  const { reason } = state.phase;
  if (answer === 'refused') {
    return promptState.refuse(state, results.failure('retriesExhausted', reason));
  }
  const next = promptPlan.requestPlan(state);
  const eventRecord: command.Command = {
    kind: 'record-event',
    name: 'runResumed',
    details: { offset: state.offset, reason },
  };
  return { state: next.state, commands: [eventRecord, ...next.commands] };
}

/** Returns the status if the current run was sent and nothing has come back. */
export function executionStatusIfSent(state: State): results.ExecutionStatus {
  return executionStatus.executionStatusAfter(state.truth, { kind: 'sent' });
}
