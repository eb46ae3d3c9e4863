/**
 * Lifecycle of one request: placement, attempts, retries at other upstreams, response. A request is
 * sent again only if it certainly did not run, or if the route's policy lets it run more than once.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/gateway.js';
import * as results from '../results/index.js';
import * as attemptResult from './attempt-result.js';
import * as endings from './lifecycle-endings.js';
import * as lifecycleState from './lifecycle-state.js';
import * as origins from './lifecycle-origin.js';
import * as relay from './lifecycle-relay.js';
import * as retry from './lifecycle-retry.js';
import * as search from './lifecycle-search.js';
import * as timers from './lifecycle-timers.js';
import * as withdrawal from './lifecycle-withdrawal.js';

type State = lifecycleState.State;
type Step = lifecycleState.Step;

/** Sends allowed beyond `maxRuns`, for upstreams that reject a request without running it. */
const MAX_REJECTIONS = 3;
/** Delay before the next check while the upstream is alive, or after a retry was not granted. */
const LIVENESS_RECHECK_MS = 300;

export function decide(state: State, message: messages.RequestMessage, now: task.Instant): Step {
  if (state.phase.kind === 'ended') return { state, commands: [] };
  switch (message.type) {
    case 'task.start':
      return origins.begin(state, now);
    case 'fleet.placed':
      return onPlaced(state, message.destination, now);
    case 'fleet.not-placed':
      return search.onNotPlaced(state, message, now);
    case 'fleet.queued':
      return search.onQueued(state);
    case 'fleet.attempt-withdrawn':
      return onWithdrawn(state, message);
    case 'fleet.liveness-checked':
      return onLiveness(state, message.attempt, message.isSilent);
    case 'fleet.begin-checked':
      return withdrawal.onChecked(state, message, now);
    case 'retry-budget.decided':
      return onRetryDecided(state, message.isGranted);
    case 'attempt.head-received':
      return onHead(state, message);
    case 'attempt.events-received':
      return onEvents(state, message);
    case 'attempt.ended':
      return onEnded(state, message, now);
    case 'stream-origins.found':
      return origins.onFound(state, message.origin);
    case 'relay.sent':
    case 'relay.head':
    case 'relay.events':
    case 'relay.ended':
      return relay.onReply(state, message);
    case 'caller.disconnected':
      return endings.onCallerDisconnected(state);
    case 'request.timer-fired':
      return onTimer(state, message.timer, now);
    case 'task.drain':
      return timers.onDrain(state, now);
    case 'task.stop':
      return { state, commands: [] };
    default:
      return results.assertNever(message);
  }
}

function onPlaced(state: State, destination: messages.Destination, now: task.Instant): Step {
  const { kind: phase } = state.phase;
  if (phase !== 'placing' && phase !== 'queued') return { state, commands: [] };
  const { request } = state.routed;
  const attempt: lifecycleState.Attempt = {
    id: `${request.requestId}/${state.sentAttempts + 1}`,
    destination,
    startedAtMs: now.monotonicMs,
    hasBegun: false,
  };
  const next: State = {
    ...origins.withVersion(state, destination.softwareVersion),
    phase: { kind: 'attempting', attempt },
    noPlacementSinceMs: undefined,
    sentAttempts: state.sentAttempts + 1,
    possibleRuns: state.possibleRuns + 1,
  };
  const { lastEventId } = next;
  const deadlineAtMs = lifecycleState.deadlineAtMs(state);
  return {
    state: next,
    commands: [
      ...origins.report(state, next),
      { kind: 'send', attempt, lastEventId, deadlineAtMs },
      ...timers.armIdleTimer(next),
      ...withdrawal.armFirstTimer(next, destination.beginBy, now),
    ],
  };
}

function onTimer(state: State, timer: messages.RequestTimer, now: task.Instant): Step {
  switch (timer) {
    case 'deadline':
      return endings.onDeadline(state);
    case 'place':
      return state.phase.kind === 'placing'
        ? { state, commands: [search.place(state)] }
        : { state, commands: [] };
    case 'idle':
      return onIdle(state, now);
    case 'begin':
      return withdrawal.onTimer(state);
    default:
      return results.assertNever(timer);
  }
}

/** Retries a late buffered response elsewhere; retries a stream only if its upstream is silent. */
function onIdle(state: State, now: task.Instant): Step {
  if (state.phase.kind !== 'attempting') return { state, commands: [] };
  if (!timers.mayRetryElsewhere(state)) return checkSilence(state, state.phase.attempt);
  if (timers.remainingMs(state, now) < timers.MIN_ATTEMPT_MS) return { state, commands: [] };
  const { attempt } = state.phase;
  switch (state.routed.route.responseMode) {
    case 'whole':
      return retry.askBudget({ ...state, lastFailureReason: 'no answer in time' }, attempt);
    case 'stream':
      return { state, commands: [{ kind: 'check-liveness', attempt }] };
    default:
      return results.assertNever(state.routed.route.responseMode);
  }
}

/** Lets the fleet find out that the upstream is silent, though this request cannot go elsewhere. */
function checkSilence(state: State, attempt: lifecycleState.Attempt): Step {
  const isStream = state.routed.route.responseMode === 'stream';
  return { state, commands: isStream ? [{ kind: 'check-liveness', attempt }] : [] };
}

function onLiveness(state: State, attemptId: string, isSilent: boolean): Step {
  if (state.phase.kind !== 'attempting' || state.phase.attempt.id !== attemptId) {
    return { state, commands: [] };
  }
  if (!isSilent) return { state, commands: timers.armIdleTimer(state, LIVENESS_RECHECK_MS) };
  if (!timers.mayRetryElsewhere(state)) return { state, commands: [] };
  return retry.askBudget(
    { ...state, lastFailureReason: 'upstream is silent' },
    state.phase.attempt,
  );
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
  const abandonment: readonly lifecycleState.Command[] = attempt
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
  return { state: next, commands: [...abandonment, search.place(next)] };
}

/** The attempt would crash its upstream, and no other may take the request. */
function onWithdrawn(
  state: State,
  { upstream, reason }: Extract<messages.RequestMessage, { type: 'fleet.attempt-withdrawn' }>,
): Step {
  const { phase } = state;
  const attempt =
    phase.kind === 'attempting' || phase.kind === 'asking' ? phase.attempt : undefined;
  if (attempt?.destination.upstream !== upstream) return { state, commands: [] };
  return endings.quarantine(state, reason);
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
  const streamedBy = state.isHeadSent ? state.streamedBy : attempt;
  const next: State = { ...lifecycleState.withBegun(state), isHeadSent: true, streamedBy };
  const timerCommands: readonly lifecycleState.Command[] = [
    { kind: 'unschedule', timer: 'begin' },
    ...timers.armIdleTimer(next),
  ];
  if (state.isHeadSent) return { state: next, commands: timerCommands };
  return {
    state: next,
    commands: [{ kind: 'reply', reply: { type: 'reply.head', head } }, ...timerCommands],
  };
}

function onEvents(
  state: State,
  message: Extract<messages.RequestMessage, { type: 'attempt.events-received' }>,
): Step {
  if (!currentAttempt(state, message.attempt)) return { state, commands: [] };
  const lastEventId = message.lastEventId ?? state.lastEventId;
  const goesOn = lastEventId !== state.lastEventId;
  const streamedBy = goesOn ? message.attempt : state.streamedBy;
  const next: State = { ...state, lastEventId, streamedBy };
  const reply = { type: 'reply.events' as const, bytes: message.bytes };
  return { state: next, commands: [{ kind: 'reply', reply }, ...timers.armIdleTimer(next)] };
}

function onEnded(
  state: State,
  { attempt: attemptId, end: result }: Extract<messages.RequestMessage, { type: 'attempt.ended' }>,
  now: task.Instant,
): Step {
  const attempt = currentAttempt(state, attemptId);
  if (!attempt) return { state, commands: [] };
  const step = afterAttempt({ ...state, phase: { kind: 'placing' } }, attempt, result, now);
  const report: lifecycleState.Command = {
    kind: 'report',
    attempt,
    outcome: endings.outcomeOf(result),
  };
  const stopTimers = (['idle', 'begin'] as const).map((timer): lifecycleState.Command => ({
    kind: 'unschedule',
    timer,
  }));
  const survived = attemptResult.survivedBy(result);
  const begun: readonly lifecycleState.Command[] = survived
    ? [{ kind: 'report-begun', attempt, survived }]
    : [];
  return {
    state: step.state,
    commands: [
      ...begun,
      report,
      ...stopTimers,
      ...endings.logCommands(attempt, result),
      ...step.commands,
    ],
  };
}

function afterAttempt(
  state: State,
  attempt: lifecycleState.Attempt,
  result: attemptResult.Result,
  now: task.Instant,
): Step {
  const lastReason = endings.describeResult(result);
  const excluded = [...state.excluded, attempt.destination.upstream];
  const classification = attemptResult.classify(result);
  switch (classification.kind) {
    case 'deliver':
      return endings.deliver(state, result, attempt.id);
    case 'not-run':
      return afterNotRun(
        { ...state, lastFailureReason: lastReason, excluded, possibleRuns: state.possibleRuns - 1 },
        result,
        now,
      );
    case 'unknown':
      return retry.afterPossibleRun({ ...state, lastFailureReason: lastReason, excluded }, now);
    case 'failed':
      return result.kind === 'answered' && !state.isHeadSent
        ? retry.afterPossibleRun(
            { ...state, lastFailureReason: lastReason, excluded, failure: result },
            now,
          )
        : retry.afterPossibleRun({ ...state, lastFailureReason: lastReason, excluded }, now);
    default:
      return results.assertNever(classification);
  }
}

/** Places an unsent request again without spending the retry budget: no upstream received it. */
function afterNotRun(state: State, result: attemptResult.Result, now: task.Instant): Step {
  const { route } = state.routed;
  const isSpent = state.sentAttempts >= route.maxRuns + MAX_REJECTIONS;
  if (isSpent || timers.remainingMs(state, now) < timers.MIN_ATTEMPT_MS) {
    return endings.giveUp(state, 'noUpstream');
  }
  return result.kind === 'unsent'
    ? { state, commands: [search.place(state)] }
    : retry.askBudget(state, undefined);
}
