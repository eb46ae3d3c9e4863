/** Whether a request that may have run is sent again, by its route's policy, its time and the retry budget. */
import type * as task from '../kernel/task.js';
import * as endings from './lifecycle-endings.js';
import type * as lifecycleState from './lifecycle-state.js';
import * as timers from './lifecycle-timers.js';

/** Asks the retry budget; the attempt, if any, stays in flight until it decides. */
export function askBudget(
  state: lifecycleState.State,
  attempt: lifecycleState.Attempt | undefined,
): lifecycleState.Step {
  return {
    state: { ...state, phase: { kind: 'asking', attempt } },
    commands: [{ kind: 'ask-retry-budget' }],
  };
}

export function afterPossibleRun(
  state: lifecycleState.State,
  now: task.Instant,
): lifecycleState.Step {
  if (timers.mayRetryElsewhere(state) && timers.remainingMs(state, now) >= timers.MIN_ATTEMPT_MS) {
    return askBudget(state, undefined);
  }
  return endings.giveUp(state, 'answerLost');
}
