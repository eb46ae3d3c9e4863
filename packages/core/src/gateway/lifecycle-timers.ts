/** Time left to a request, and how long its upstream may be silent before a retry elsewhere. */
import * as drain from '../drain/drain.js';
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';
import * as attemptResult from './attempt-result.js';
import * as lifecycleState from './lifecycle-state.js';
import type * as routes from './routes.js';

type State = lifecycleState.State;

/** In latency targets: a buffered response that takes longer is requested from another upstream. */
const BUFFERED_TIMEOUT_TARGETS = 2.5;
/** In latency targets: a first event that takes longer starts a liveness check of the upstream. */
const FIRST_EVENT_TIMEOUT_TARGETS = 1.25;
/** In event gaps of the route: the same for later events. */
const EVENT_TIMEOUT_GAPS = 3;

/** A stream that cannot be retried checks the liveness of its upstream no later than this. */
const MAX_LIVENESS_DELAY_MS = 600;

/** With less time than this left, no further attempt is made. */
export const MIN_ATTEMPT_MS = 40;

export function remainingMs(state: State, now: task.Instant): number {
  return lifecycleState.deadlineAtMs(state) - now.monotonicMs;
}

export function armDeadline(state: State, now: task.Instant): lifecycleState.Command {
  return { kind: 'schedule', timer: 'deadline', delayMs: Math.max(0, remainingMs(state, now)) };
}

/** The end of the grace may come before the request's own deadline. */
export function onDrain(state: State, now: task.Instant): lifecycleState.Step {
  const next = { ...state, drain: drain.begin(state.drain, now) };
  return { state: next, commands: [armDeadline(next, now)] };
}

/** Time in which a request is usually answered, also by a second upstream; a stream may need all it has. */
export function expectedMs({ responseMode, latencyTargetMs, timeoutMs }: routes.Route): number {
  switch (responseMode) {
    case 'whole':
      return 2 * BUFFERED_TIMEOUT_TARGETS * latencyTargetMs;
    case 'stream':
      return timeoutMs;
    default:
      return results.assertNever(responseMode);
  }
}

/**
 * Schedules the idle timer, if the request could still be retried at another upstream. A stream that could
 * not shows by its silence that no others should be sent there.
 */
export function armIdleTimer(
  state: State,
  delayMs = idleTimeoutMs(state),
): readonly lifecycleState.Command[] {
  if (mayRetryElsewhere(state)) return [{ kind: 'schedule', timer: 'idle', delayMs }];
  if (state.routed.route.responseMode !== 'stream') return [];
  const checkMs = state.isHeadSent ? delayMs : Math.min(delayMs, MAX_LIVENESS_DELAY_MS);
  return [{ kind: 'schedule', timer: 'idle', delayMs: checkMs }];
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
