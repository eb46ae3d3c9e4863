/**
 * What becomes of a run that breaks off or shows no progress: first a new connection to the same
 * engine, which still has the run, then another replica, within the budget of retries.
 */
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as command from './command.js';
import * as promptPlan from './prompt-plan.js';
import * as promptState from './prompt-state.js';
import * as executionStatus from './execution-status.js';

type State = promptState.State;
type Step = promptState.Step;

/** New connections to one engine without a token in between. */
const MAX_RECONNECTS = 1;

/** A silent connection says something about all older connections to that upstream. */
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
  reach: messages.SendProgress = { kind: 'responding' },
): Step {
  const { phase } = state;
  if (phase.kind !== 'running') return promptState.dropLateMessage(state, 'run.failed');
  const { upstream } = phase.placement;
  const hasAllTokens = state.offset >= state.request.maxTokens;
  if (hasAllTokens) return promptState.complete(state, upstream, 'length');
  const reached: State = {
    ...state,
    truth: executionStatus.executionStatusAfter(state.truth, reach),
  };
  const isKnownToEngine = reach.kind === 'responding' || reach.kind === 'sent';
  return isKnownToEngine && phase.reconnects < MAX_RECONNECTS
    ? resume(reached, phase, reason)
    : abandonRun(reached, phase, reason, reach);
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

/** Gives the engine up, and asks whether the request may be tried at another one. */
function abandonRun(
  state: State,
  phase: Running,
  reason: string,
  reach: messages.SendProgress,
): Step {
  const { upstream } = phase.placement;
  const commands: readonly command.Command[] = [
    { kind: 'report', upstream, outcome: { kind: 'failed', progress: reach } },
    { kind: 'cancel', runId: promptState.runIdOf(state), upstream },
    { kind: 'unschedule', timer: 'progress' },
  ];
  const excluded = [...state.excluded, upstream];
  const left: State = { ...state, excluded, phase: { kind: 'retrying', reason } };
  if (state.attempt < promptState.MAX_ATTEMPTS) {
    return { state: left, commands: [...commands, { kind: 'ask-retry-budget' }] };
  }
  const refused = promptState.refuse(left, results.failure('runLost', reason));
  return { state: refused.state, commands: [...commands, ...refused.commands] };
}

export function onRetryAnswered(state: State, answer: messages.RetryBudgetAnswer): Step {
  if (state.phase.kind !== 'retrying') return { state, commands: [] };
  const { reason } = state.phase;
  if (answer === 'refused') {
    return promptState.refuse(state, results.failure('retriesExhausted', reason));
  }
  const next = promptPlan.requestPlan(state);
  const note: command.Command = {
    kind: 'record-event',
    name: 'runResumed',
    details: { offset: state.offset, reason },
  };
  return { state: next.state, commands: [note, ...next.commands] };
}

/** The order has gone out, and nothing has come back yet. */
export function executionStatusIfSent(state: State): results.ExecutionStatus {
  return executionStatus.executionStatusAfter(state.truth, { kind: 'sent' });
}
