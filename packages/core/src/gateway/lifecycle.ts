/**
 * The life of one request: placed, sent, perhaps moved to another upstream, answered. Sent a second
 * time only if the first surely did not run, or if the route says that it may be repeated.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/gateway.js';
import * as results from '../results/index.js';
import * as attemptResult from './attempt-result.js';
import * as endings from './lifecycle-endings.js';
import * as lifecycleState from './lifecycle-state.js';
import * as timers from './lifecycle-timers.js';

type State = lifecycleState.State;
type Step = lifecycleState.Step;

/** Pause before another look for an upstream. */
const PLACEMENT_RETRY_MS = 25;
/** A request is held for this share of its target before it is refused: later costs the caller more. */
const MAX_QUEUE_FRACTION = 1 / 8;
/** A stream that has begun is held this long from the first search without result: it can only be cut. */
const STREAM_PLACEMENT_TIMEOUT_MS = 1_500;
/** Sends beyond the allowed runs, for upstreams that reject without running. */
const MAX_REJECTIONS = 3;
/** The least time that makes another attempt worth while. */
const MIN_ATTEMPT_MS = 40;
/** Pause before a doubt is looked at again while the upstream shows signs of life. */
const LIVENESS_RECHECK_MS = 300;

export function begin(state: State, now: task.Instant): Step {
  const totalMs = Math.max(0, lifecycleState.deadlineAtMs(state.routed) - now.monotonicMs);
  return {
    state,
    commands: [{ kind: 'schedule', timer: 'deadline', delayMs: totalMs }, place(state)],
  };
}

export function decide(state: State, message: messages.RequestMessage, now: task.Instant): Step {
  if (state.phase.kind === 'ended') return { state, commands: [] };
  switch (message.type) {
    case 'task.start':
      return begin(state, now);
    case 'fleet.placed':
      return onPlaced(state, message.destination, now);
    case 'fleet.not-placed':
      return onNotPlaced(state, message.reason, now);
    case 'fleet.liveness-checked':
      return onLiveness(state, message.attempt, message.isSilent);
    case 'retry-budget.decided':
      return onRetryDecided(state, message.isGranted);
    case 'attempt.head-received':
      return onHead(state, message);
    case 'attempt.events-received':
      return onEvents(state, message);
    case 'attempt.ended':
      return onEnded(state, message, now);
    case 'caller.disconnected':
      return endings.onCallerDisconnected(state);
    case 'request.timer-fired':
      return onTimer(state, message.timer, now);
    case 'task.drain':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return results.assertNever(message);
  }
}

function place({ excluded, isHeadSent, possibleRuns }: State): lifecycleState.Command {
  return { kind: 'place', excluded, mayRefuse: !isHeadSent && possibleRuns === 0 };
}

function onPlaced(state: State, placement: messages.Destination, now: task.Instant): Step {
  if (state.phase.kind !== 'placing') return { state, commands: [] };
  const { request } = state.routed;
  const attempt: lifecycleState.Attempt = {
    id: `${request.requestId}/${state.sentAttempts + 1}`,
    destination: placement,
    startedAtMs: now.monotonicMs,
  };
  const next: State = {
    ...state,
    phase: { kind: 'attempting', attempt },
    noPlacementSinceMs: undefined,
    sentAttempts: state.sentAttempts + 1,
    possibleRuns: state.possibleRuns + 1,
  };
  const { lastEventId } = state;
  const deadlineMs = lifecycleState.deadlineAtMs(state.routed);
  return {
    state: next,
    commands: [
      { kind: 'send', attempt, lastEventId, deadlineAtMs: deadlineMs },
      ...timers.armIdleTimer(next),
    ],
  };
}

function onNotPlaced(state: State, reason: messages.PlacementRefusal, now: task.Instant): Step {
  if (state.phase.kind !== 'placing') return { state, commands: [] };
  const { request, route } = state.routed;
  const noPlacementSinceMs = state.noPlacementSinceMs ?? now.monotonicMs;
  const next = { ...state, noPlacementSinceMs, lastFailureReason: `no upstream: ${reason}` };
  const isOver = state.isHeadSent
    ? now.monotonicMs - noPlacementSinceMs >= STREAM_PLACEMENT_TIMEOUT_MS
    : now.monotonicMs - request.receivedAt.monotonicMs >=
      route.latencyTargetMs * MAX_QUEUE_FRACTION;
  if (!isOver && timers.remainingMs(state, now) > MIN_ATTEMPT_MS) {
    return {
      state: next,
      commands: [{ kind: 'schedule', timer: 'place', delayMs: PLACEMENT_RETRY_MS }],
    };
  }
  return endings.giveUp(next, 'noUpstream');
}

function onTimer(state: State, timer: messages.RequestTimer, now: task.Instant): Step {
  switch (timer) {
    case 'deadline':
      return endings.onDeadline(state);
    case 'place':
      return state.phase.kind === 'placing'
        ? { state, commands: [place(state)] }
        : { state, commands: [] };
    case 'idle':
      return onIdle(state, now);
    default:
      return results.assertNever(timer);
  }
}

/** A whole answer that is late is asked for elsewhere; a stream only if its upstream is silent. */
function onIdle(state: State, now: task.Instant): Step {
  if (state.phase.kind !== 'attempting' || !timers.mayRetryElsewhere(state)) {
    return { state, commands: [] };
  }
  if (timers.remainingMs(state, now) < MIN_ATTEMPT_MS) return { state, commands: [] };
  const { attempt } = state.phase;
  switch (state.routed.route.responseMode) {
    case 'whole':
      return askRetry({ ...state, lastFailureReason: 'no answer in time' }, attempt);
    case 'stream':
      return { state, commands: [{ kind: 'check-liveness', attempt }] };
    default:
      return results.assertNever(state.routed.route.responseMode);
  }
}

function onLiveness(state: State, attemptId: string, isSilent: boolean): Step {
  if (state.phase.kind !== 'attempting' || state.phase.attempt.id !== attemptId) {
    return { state, commands: [] };
  }
  if (!timers.mayRetryElsewhere(state)) return { state, commands: [] };
  if (!isSilent) return { state, commands: timers.armIdleTimer(state, LIVENESS_RECHECK_MS) };
  return askRetry({ ...state, lastFailureReason: 'upstream is silent' }, state.phase.attempt);
}

function askRetry(state: State, attempt: lifecycleState.Attempt | undefined): Step {
  return {
    state: { ...state, phase: { kind: 'asking', attempt } },
    commands: [{ kind: 'ask-retry-budget' }],
  };
}

function onRetryDecided(state: State, isGranted: boolean): Step {
  if (state.phase.kind !== 'asking') return { state, commands: [] };
  const { attempt } = state.phase;
  if (!isGranted && attempt) {
    const next: State = { ...state, phase: { kind: 'attempting', attempt } };
    return { state: next, commands: timers.armIdleTimer(next, LIVENESS_RECHECK_MS) };
  }
  if (!isGranted) return endings.giveUp(state, 'retriesExhausted');
  const excluded = attempt ? [...state.excluded, attempt.destination.upstream] : state.excluded;
  const next: State = { ...state, phase: { kind: 'placing' }, excluded };
  const ended: readonly lifecycleState.Command[] = attempt
    ? [
        { kind: 'abort', attempt: attempt.id },
        { kind: 'report', attempt, outcome: 'silent' },
        {
          kind: 'record-failed-attempt',
          upstream: attempt.destination.upstream,
          reason: state.lastFailureReason,
        },
      ]
    : [];
  return { state: next, commands: [...ended, place(next)] };
}

function currentAttempt({ phase }: State, attemptId: string): lifecycleState.Attempt | undefined {
  if (phase.kind !== 'attempting' && phase.kind !== 'asking') return undefined;
  return phase.attempt?.id === attemptId ? phase.attempt : undefined;
}

function onHead(
  state: State,
  { attempt, head }: Extract<messages.RequestMessage, { type: 'attempt.head-received' }>,
): Step {
  if (!currentAttempt(state, attempt)) return { state, commands: [] };
  const next: State = { ...state, isHeadSent: true };
  const silence = timers.armIdleTimer(next);
  if (state.isHeadSent) return { state: next, commands: silence };
  return {
    state: next,
    commands: [{ kind: 'reply', reply: { type: 'reply.head', head } }, ...silence],
  };
}

function onEvents(
  state: State,
  message: Extract<messages.RequestMessage, { type: 'attempt.events-received' }>,
): Step {
  if (!currentAttempt(state, message.attempt)) return { state, commands: [] };
  const lastEventId = message.lastEventId ?? state.lastEventId;
  const next: State = { ...state, lastEventId };
  const reply = { type: 'reply.events' as const, bytes: message.bytes };
  return { state: next, commands: [{ kind: 'reply', reply }, ...timers.armIdleTimer(next)] };
}

function onEnded(
  state: State,
  { attempt: attemptId, end }: Extract<messages.RequestMessage, { type: 'attempt.ended' }>,
  now: task.Instant,
): Step {
  const attempt = currentAttempt(state, attemptId);
  if (!attempt) return { state, commands: [] };
  const step = afterAttempt({ ...state, phase: { kind: 'placing' } }, attempt, end, now);
  const report: lifecycleState.Command = {
    kind: 'report',
    attempt,
    outcome: endings.outcomeOf(end),
  };
  const quiet: lifecycleState.Command = { kind: 'unschedule', timer: 'idle' };
  return {
    state: step.state,
    commands: [report, quiet, ...logCommands(attempt, end), ...step.commands],
  };
}

/** The journal has a line for each attempt that did not succeed. */
function logCommands(
  attempt: lifecycleState.Attempt,
  end: attemptResult.Result,
): readonly lifecycleState.Command[] {
  if (attemptResult.classify(end).kind === 'deliver') return [];
  const { upstream } = attempt.destination;
  return [{ kind: 'record-failed-attempt', upstream, reason: endings.describeResult(end) }];
}

function afterAttempt(
  state: State,
  attempt: lifecycleState.Attempt,
  end: attemptResult.Result,
  now: task.Instant,
): Step {
  const lastReason = endings.describeResult(end);
  const excluded = [...state.excluded, attempt.destination.upstream];
  const verdict = attemptResult.classify(end);
  switch (verdict.kind) {
    case 'deliver':
      return endings.deliver(state, end);
    case 'not-run':
      return afterNotRun(
        { ...state, lastFailureReason: lastReason, excluded, possibleRuns: state.possibleRuns - 1 },
        end,
        now,
      );
    case 'unknown':
      return afterPossibleRun({ ...state, lastFailureReason: lastReason, excluded }, now);
    case 'failed':
      return end.kind === 'answered' && !state.isHeadSent
        ? afterPossibleRun({ ...state, lastFailureReason: lastReason, excluded, failure: end }, now)
        : afterPossibleRun({ ...state, lastFailureReason: lastReason, excluded }, now);
    default:
      return results.assertNever(verdict);
  }
}

/** Nothing arrived if nothing was sent, so that costs none of the budget. */
function afterNotRun(state: State, end: attemptResult.Result, now: task.Instant): Step {
  const { route } = state.routed;
  const isSpent = state.sentAttempts >= route.maxRuns + MAX_REJECTIONS;
  if (isSpent || timers.remainingMs(state, now) < MIN_ATTEMPT_MS) {
    return endings.giveUp(state, 'noUpstream');
  }
  return end.kind === 'unsent' ? { state, commands: [place(state)] } : askRetry(state, undefined);
}

function afterPossibleRun(state: State, now: task.Instant): Step {
  if (timers.mayRetryElsewhere(state) && timers.remainingMs(state, now) >= MIN_ATTEMPT_MS) {
    return askRetry(state, undefined);
  }
  return endings.giveUp(state, 'answerLost');
}
