/** The search for an upstream: placement is asked for, and a request that finds none waits or is refused. */
import type * as waitClaims from '../fleet/wait-claims.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/gateway.js';
import * as endings from './lifecycle-endings.js';
import * as lifecycleState from './lifecycle-state.js';
import * as relay from './lifecycle-relay.js';
import * as timers from './lifecycle-timers.js';
import * as overload from './overload.js';

type State = lifecycleState.State;
type Step = lifecycleState.Step;

const PLACEMENT_RETRY_MS = 25;
/**
 * Time without a placement after which a stream that has begun is aborted; its head is sent, so it
 * can no longer be refused.
 */
const STREAM_PLACEMENT_TIMEOUT_MS = 1_500;

export function place(state: State): lifecycleState.Command {
  const { excluded, softwareVersion, isHeadSent, possibleRuns } = state;
  const isRepeat = possibleRuns > 0;
  const mayRefuse = !isHeadSent && !isRepeat;
  const waiting = waitingOf(state);
  return { kind: 'place', excluded, softwareVersion, mayRefuse, isRepeat, waiting };
}

/** How long the request may wait for a place, and what decides its place among others. */
function waitingOf(state: State): waitClaims.Waiting {
  const { request, route, clientAccount } = state.routed;
  const isResumed = lifecycleState.isResumed(state);
  const { latencyTargetMs, timeoutMs: routeTimeoutMs } = route;
  return {
    rank: clientAccount?.priority ?? route.priority,
    receivedAtMs: request.receivedAt.monotonicMs,
    deadlineAtMs: lifecycleState.deadlineAtMs(state),
    routeTimeoutMs,
    ...(state.isHeadSent
      ? { maxMs: STREAM_PLACEMENT_TIMEOUT_MS, since: 'no-place' }
      : { maxMs: overload.maxQueueMs({ isResumed, latencyTargetMs }), since: 'arrival' }),
  };
}

export function onQueued(state: State): Step {
  if (state.phase.kind !== 'placing') return { state, commands: [] };
  return { state: { ...state, phase: { kind: 'queued' } }, commands: [] };
}

export function onNotPlaced(
  given: State,
  {
    reason,
    freeInMs,
    detail = '',
    retryAfterMs,
  }: Extract<messages.RequestMessage, { type: 'fleet.not-placed' }>,
  now: task.Instant,
): Step {
  const { kind: phase } = given.phase;
  if (phase !== 'placing' && phase !== 'queued') return { state: given, commands: [] };
  const state: State = { ...given, phase: { kind: 'placing' } };
  if (reason === 'cut-off' && relay.mayLeave(state)) return relay.begin(state);
  if (retryAfterMs !== undefined) {
    const refused = { ...state, lastFailureReason: `no upstream: ${reason}` };
    return endings.giveUp(refused, 'noUpstream', retryAfterMs);
  }
  if (reason === 'quarantined') return endings.quarantine(state, detail);
  if (reason === 'suspected') {
    return endings.giveUp({ ...state, lastFailureReason: detail }, 'answerLost');
  }
  if (reason === 'one-at-a-time') {
    const { requestId } = state.routed.request;
    const comeBackMs = overload.retryAfterMs({ requestId, freeInMs });
    return endings.giveUp({ ...state, lastFailureReason: detail }, 'noUpstream', comeBackMs);
  }
  if (reason === 'software-version-gone') {
    const gone = { ...state, lastFailureReason: `${reason}: ${detail}` };
    // A stream without an event may begin anew, at any version.
    return lifecycleState.isResumed(state)
      ? endings.giveUpStream(gone)
      : endings.giveUp(gone, 'noUpstream');
  }
  const noPlacementSinceMs = state.noPlacementSinceMs ?? now.monotonicMs;
  const next = { ...state, noPlacementSinceMs, lastFailureReason: `no upstream: ${reason}` };
  const verdict = judgeUnplaced(next, freeInMs, now);
  if (verdict.kind === 'refuse') return endings.giveUp(next, 'noUpstream', verdict.retryAfterMs);
  return timers.remainingMs(state, now) > timers.MIN_ATTEMPT_MS
    ? { state: next, commands: [{ kind: 'schedule', timer: 'place', delayMs: PLACEMENT_RETRY_MS }] }
    : endings.giveUp(next, 'noUpstream');
}

/** A stream whose head is sent can no longer be refused, and waits for an upstream for longer. */
function judgeUnplaced(
  state: State,
  freeInMs: number | undefined,
  now: task.Instant,
): overload.Verdict {
  const { isHeadSent, noPlacementSinceMs, routed } = state;
  const { requestId, receivedAt } = routed.request;
  const { latencyTargetMs } = routed.route;
  const isResumed = lifecycleState.isResumed(state);
  if (isHeadSent) {
    const waitedMs = now.monotonicMs - (noPlacementSinceMs ?? now.monotonicMs);
    return waitedMs < STREAM_PLACEMENT_TIMEOUT_MS
      ? { kind: 'wait' }
      : { kind: 'refuse', retryAfterMs: 0 };
  }
  const waitedMs = now.monotonicMs - receivedAt.monotonicMs;
  return overload.judge({ requestId, isResumed, waitedMs, latencyTargetMs, freeInMs });
}
