/**
 * Withdraws an attempt that waits at its upstream for longer than its weights may be used. An estimate of
 * the wait can be wrong: the upstream serves other instances' work too, and preempts.
 */
import * as task from '../kernel/task.js';
import type * as messages from '../messages/gateway.js';
import * as results from '../results/index.js';
import type * as lifecycleState from './lifecycle-state.js';
import * as retry from './lifecycle-retry.js';

type State = lifecycleState.State;
type Step = lifecycleState.Step;

/** An attempt is withdrawn this long before the bound: its end has to reach the upstream. */
const WITHDRAWAL_MARGIN_MS = 200;
/** A version may be named, or heard of, while the attempt waits, so the fleet is asked this often. */
const CHECK_INTERVAL_MS = 1_000;
/** Delay of the next check while the retry budget is asked about the attempt. */
const BUDGET_RECHECK_MS = 50;

/** Only a stream tells when it begins. */
export function armFirstTimer(
  { routed: { route } }: State,
  beginBy: task.Instant | undefined,
  now: task.Instant,
): readonly lifecycleState.Command[] {
  return route.responseMode === 'stream' ? armTimer(beginBy, now) : [];
}

function armTimer(
  beginBy: task.Instant | undefined,
  now: task.Instant,
): readonly lifecycleState.Command[] {
  if (!beginBy) return [];
  const untilMs = beginBy.monotonicMs - now.monotonicMs - WITHDRAWAL_MARGIN_MS;
  return [checkIn(Math.max(0, Math.min(untilMs, CHECK_INTERVAL_MS)))];
}

function checkIn(delayMs: number): lifecycleState.Command {
  return { kind: 'schedule', timer: 'begin', delayMs };
}

/** The weights may have become the newest meanwhile, or newer ones may have been named: the fleet knows. */
export function onTimer(state: State): Step {
  const { phase } = state;
  switch (phase.kind) {
    case 'attempting':
      return phase.attempt.hasBegun
        ? { state, commands: [] }
        : { state, commands: [{ kind: 'check-begin', attempt: phase.attempt }] };
    case 'asking':
      return { state, commands: [checkIn(BUDGET_RECHECK_MS)] };
    case 'identifying':
    case 'placing':
    case 'queued':
    case 'relaying':
    case 'ended':
      return { state, commands: [] };
    default:
      return results.assertNever(phase);
  }
}

export function onChecked(
  state: State,
  {
    attempt: attemptId,
    beginBy,
  }: Extract<messages.RequestMessage, { type: 'fleet.begin-checked' }>,
  now: task.Instant,
): Step {
  const { phase } = state;
  if (phase.kind !== 'attempting' || phase.attempt.id !== attemptId || phase.attempt.hasBegun) {
    return { state, commands: [] };
  }
  if (!beginBy) return { state, commands: [checkIn(CHECK_INTERVAL_MS)] };
  if (!task.hasCome(task.later(beginBy, -WITHDRAWAL_MARGIN_MS), now)) {
    return { state, commands: armTimer(beginBy, now) };
  }
  return withdraw(state, phase.attempt, 'not begun before its weights expired', now);
}

function withdraw(
  state: State,
  attempt: lifecycleState.Attempt,
  reason: string,
  now: task.Instant,
): Step {
  const { upstream } = attempt.destination;
  const next: State = {
    ...state,
    phase: { kind: 'placing' },
    excluded: [...state.excluded, upstream],
    lastFailureReason: reason,
  };
  const step = retry.afterPossibleRun(next, now);
  return {
    state: step.state,
    commands: [
      { kind: 'abort', attempt: attempt.id },
      { kind: 'report', attempt, outcome: 'cancelled' },
      { kind: 'unschedule', timer: 'idle' },
      { kind: 'record-failed-attempt', upstream, reason },
      ...step.commands,
    ],
  };
}
