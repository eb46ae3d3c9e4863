/** How long a request may still take, and how long its upstream may be silent. */
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';
import * as attemptResult from './attempt-result.js';
import * as lifecycleState from './lifecycle-state.js';

type State = lifecycleState.State;

/** A whole answer that takes longer than this many targets is asked for elsewhere. */
const BUFFERED_TIMEOUT_TARGETS = 2.5;
/** A first event that takes longer than this many targets raises doubts about the upstream. */
const FIRST_EVENT_TIMEOUT_TARGETS = 1.25;
/** Later events: this many gaps of the route. */
const EVENT_TIMEOUT_GAPS = 3;

export function remainingMs({ routed }: State, now: task.Instant): number {
  return lifecycleState.deadlineAtMs(routed) - now.monotonicMs;
}

/** Watches for silence where another upstream could take over. */
export function armIdleTimer(
  state: State,
  delayMs = idleTimeoutMs(state),
): readonly lifecycleState.Command[] {
  if (!mayRetryElsewhere(state)) return [];
  return [{ kind: 'schedule', timer: 'idle', delayMs }];
}

export function mayRetryElsewhere({ routed: { route }, possibleRuns }: State): boolean {
  return attemptResult.mayRetryAfterRun(route.retryPolicy) && possibleRuns < route.maxRuns;
}

function idleTimeoutMs({ routed: { route }, isHeadSent }: State): number {
  switch (route.responseMode) {
    case 'whole':
      return BUFFERED_TIMEOUT_TARGETS * route.latencyTargetMs;
    case 'stream':
      return isHeadSent
        ? Math.max(EVENT_TIMEOUT_GAPS * route.maxEventGapMs, route.latencyTargetMs)
        : FIRST_EVENT_TIMEOUT_TARGETS * route.latencyTargetMs;
    default:
      return results.assertNever(route.responseMode);
  }
}
