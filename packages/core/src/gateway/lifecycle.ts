/**
 * The life of one request: placed, sent, perhaps moved to another upstream, answered. Sent a second
 * time only if the first surely did not run, or if the route says that it may be repeated.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/gateway.js';
import * as results from '../results/index.js';
import * as answers from './answers.js';
import * as endings from './lifecycle-endings.js';
import * as lifecycle from './lifecycle-state.js';

type State = lifecycle.State;
type Step = lifecycle.Step;

/** Pause before another look for an upstream. */
const PLACE_AGAIN_MS = 25;
/** A request is held for this share of its target before it is refused: later costs the caller more. */
const HOLD_SHARE = 1 / 8;
/** A stream that has begun is held this long from the first search without result: it can only be cut. */
const HOLD_BEGUN_MS = 1_500;
/** Sends beyond the allowed runs, for upstreams that reject without running. */
const MAX_REJECTIONS = 3;
/** The least time that makes another attempt worth while. */
const LEAST_ATTEMPT_MS = 40;
/** A whole answer that takes longer than this many targets is asked for elsewhere. */
const WHOLE_SILENCE_TARGETS = 2.5;
/** A first event that takes longer than this many targets raises doubts about the upstream. */
const FIRST_EVENT_TARGETS = 1.25;
/** Later events: this many gaps of the route. */
const EVENT_SILENCE_GAPS = 3;
/** Pause before a doubt is looked at again while the upstream shows signs of life. */
const DOUBT_AGAIN_MS = 300;

export function begin(state: State, now: task.Instant): Step {
  const totalMs = Math.max(0, lifecycle.deadlineMs(state.given) - now.monotonicMs);
  return {
    state,
    commands: [{ kind: 'schedule', timer: 'total', delayMs: totalMs }, place(state)],
  };
}

export function decide(state: State, message: messages.RequestMessage, now: task.Instant): Step {
  if (state.phase.kind === 'ended') return { state, commands: [] };
  switch (message.type) {
    case 'task.start':
      return begin(state, now);
    case 'fleet.placed':
      return onPlaced(state, message.placement, now);
    case 'fleet.not-placed':
      return onNone(state, message.reason, now);
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
      return endings.callerLeft(state);
    case 'request.timer-fired':
      return onDue(state, message.timer, now);
    case 'task.drain':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return results.assertNever(message);
  }
}

function place({ excluded, isHeadSent, runs }: State): lifecycle.Command {
  return { kind: 'place', excluded, mayRefuse: !isHeadSent && runs === 0 };
}

function leftMs({ given }: State, now: task.Instant): number {
  return lifecycle.deadlineMs(given) - now.monotonicMs;
}

function onPlaced(state: State, placement: messages.Destination, now: task.Instant): Step {
  if (state.phase.kind !== 'placing') return { state, commands: [] };
  const { request } = state.given;
  const attempt: lifecycle.Attempt = {
    id: `${request.requestId}/${state.sends + 1}`,
    placement,
    startedAtMs: now.monotonicMs,
  };
  const next: State = {
    ...state,
    phase: { kind: 'attempting', attempt },
    searchingSinceMs: undefined,
    sends: state.sends + 1,
    runs: state.runs + 1,
  };
  const { lastEventId } = state;
  const deadlineMs = lifecycle.deadlineMs(state.given);
  return {
    state: next,
    commands: [{ kind: 'send', attempt, lastEventId, deadlineMs }, ...armSilence(next)],
  };
}

/** Watches for silence where another upstream could take over. */
function armSilence(state: State, delayMs = silenceMs(state)): readonly lifecycle.Command[] {
  if (!mayMove(state)) return [];
  return [{ kind: 'schedule', timer: 'silence', delayMs }];
}

function mayMove({ given: { route }, runs }: State): boolean {
  return answers.mayRepeat(route.repetition) && runs < route.maxRuns;
}

function silenceMs({ given: { route }, isHeadSent }: State): number {
  switch (route.delivery) {
    case 'whole':
      return WHOLE_SILENCE_TARGETS * route.targetMs;
    case 'stream':
      return isHeadSent
        ? Math.max(EVENT_SILENCE_GAPS * route.eventGapMs, route.targetMs)
        : FIRST_EVENT_TARGETS * route.targetMs;
    default:
      return results.assertNever(route.delivery);
  }
}

function onNone(state: State, reason: messages.PlacementRefusal, now: task.Instant): Step {
  if (state.phase.kind !== 'placing') return { state, commands: [] };
  const { request, route } = state.given;
  const searchingSinceMs = state.searchingSinceMs ?? now.monotonicMs;
  const next = { ...state, searchingSinceMs, lastReason: `no upstream: ${reason}` };
  const isOver = state.isHeadSent
    ? now.monotonicMs - searchingSinceMs >= HOLD_BEGUN_MS
    : now.monotonicMs - request.receivedAt.monotonicMs >= route.targetMs * HOLD_SHARE;
  if (!isOver && leftMs(state, now) > LEAST_ATTEMPT_MS) {
    return {
      state: next,
      commands: [{ kind: 'schedule', timer: 'place', delayMs: PLACE_AGAIN_MS }],
    };
  }
  return endings.giveUp(next, 'noUpstream');
}

function onDue(state: State, timer: messages.RequestTimer, now: task.Instant): Step {
  switch (timer) {
    case 'total':
      return endings.outOfTime(state);
    case 'place':
      return state.phase.kind === 'placing'
        ? { state, commands: [place(state)] }
        : { state, commands: [] };
    case 'silence':
      return onSilence(state, now);
    default:
      return results.assertNever(timer);
  }
}

/** A whole answer that is late is asked for elsewhere; a stream only if its upstream is silent. */
function onSilence(state: State, now: task.Instant): Step {
  if (state.phase.kind !== 'attempting' || !mayMove(state)) return { state, commands: [] };
  if (leftMs(state, now) < LEAST_ATTEMPT_MS) return { state, commands: [] };
  const { attempt } = state.phase;
  switch (state.given.route.delivery) {
    case 'whole':
      return askRetry({ ...state, lastReason: 'no answer in time' }, attempt);
    case 'stream':
      return { state, commands: [{ kind: 'ask-liveness', attempt }] };
    default:
      return results.assertNever(state.given.route.delivery);
  }
}

function onLiveness(state: State, attemptId: string, isSilent: boolean): Step {
  if (state.phase.kind !== 'attempting' || state.phase.attempt.id !== attemptId) {
    return { state, commands: [] };
  }
  if (!mayMove(state)) return { state, commands: [] };
  if (!isSilent) return { state, commands: armSilence(state, DOUBT_AGAIN_MS) };
  return askRetry({ ...state, lastReason: 'upstream is silent' }, state.phase.attempt);
}

function askRetry(state: State, attempt: lifecycle.Attempt | undefined): Step {
  return {
    state: { ...state, phase: { kind: 'asking', attempt } },
    commands: [{ kind: 'ask-retry' }],
  };
}

function onRetryDecided(state: State, isGranted: boolean): Step {
  if (state.phase.kind !== 'asking') return { state, commands: [] };
  const { attempt } = state.phase;
  if (!isGranted && attempt) {
    const next: State = { ...state, phase: { kind: 'attempting', attempt } };
    return { state: next, commands: armSilence(next, DOUBT_AGAIN_MS) };
  }
  if (!isGranted) return endings.giveUp(state, 'retriesExhausted');
  const excluded = attempt ? [...state.excluded, attempt.placement.upstream] : state.excluded;
  const next: State = { ...state, phase: { kind: 'placing' }, excluded };
  const ended: readonly lifecycle.Command[] = attempt
    ? [
        { kind: 'abort', attempt: attempt.id },
        { kind: 'report', attempt, outcome: 'silent' },
        { kind: 'note-attempt', upstream: attempt.placement.upstream, reason: state.lastReason },
      ]
    : [];
  return { state: next, commands: [...ended, place(next)] };
}

function currentAttempt({ phase }: State, attemptId: string): lifecycle.Attempt | undefined {
  if (phase.kind !== 'attempting' && phase.kind !== 'asking') return undefined;
  return phase.attempt?.id === attemptId ? phase.attempt : undefined;
}

function onHead(
  state: State,
  { attempt, head }: Extract<messages.RequestMessage, { type: 'attempt.head-received' }>,
): Step {
  if (!currentAttempt(state, attempt)) return { state, commands: [] };
  const next: State = { ...state, isHeadSent: true };
  const silence = armSilence(next);
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
  return { state: next, commands: [{ kind: 'reply', reply }, ...armSilence(next)] };
}

function onEnded(
  state: State,
  { attempt: attemptId, end }: Extract<messages.RequestMessage, { type: 'attempt.ended' }>,
  now: task.Instant,
): Step {
  const attempt = currentAttempt(state, attemptId);
  if (!attempt) return { state, commands: [] };
  const step = afterEnd({ ...state, phase: { kind: 'placing' } }, attempt, end, now);
  const report: lifecycle.Command = { kind: 'report', attempt, outcome: endings.outcomeOf(end) };
  const quiet: lifecycle.Command = { kind: 'unschedule', timer: 'silence' };
  return {
    state: step.state,
    commands: [report, quiet, ...noteOf(attempt, end), ...step.commands],
  };
}

/** The journal has a line for each attempt that did not succeed. */
function noteOf(attempt: lifecycle.Attempt, end: answers.AttemptEnd): readonly lifecycle.Command[] {
  if (answers.judge(end).kind === 'deliver') return [];
  const { upstream } = attempt.placement;
  return [{ kind: 'note-attempt', upstream, reason: endings.describeEnd(end) }];
}

function afterEnd(
  state: State,
  attempt: lifecycle.Attempt,
  end: answers.AttemptEnd,
  now: task.Instant,
): Step {
  const lastReason = endings.describeEnd(end);
  const excluded = [...state.excluded, attempt.placement.upstream];
  const verdict = answers.judge(end);
  switch (verdict.kind) {
    case 'deliver':
      return endings.deliver(state, end);
    case 'not-run':
      return afterNotRun({ ...state, lastReason, excluded, runs: state.runs - 1 }, end, now);
    case 'unknown':
      return afterRun({ ...state, lastReason, excluded }, now);
    case 'failed':
      return end.kind === 'answered' && !state.isHeadSent
        ? afterRun({ ...state, lastReason, excluded, failure: end }, now)
        : afterRun({ ...state, lastReason, excluded }, now);
    default:
      return results.assertNever(verdict);
  }
}

/** Nothing arrived if nothing was sent, so that costs none of the budget. */
function afterNotRun(state: State, end: answers.AttemptEnd, now: task.Instant): Step {
  const { route } = state.given;
  const isSpent = state.sends >= route.maxRuns + MAX_REJECTIONS;
  if (isSpent || leftMs(state, now) < LEAST_ATTEMPT_MS) return endings.giveUp(state, 'noUpstream');
  return end.kind === 'unsent' ? { state, commands: [place(state)] } : askRetry(state, undefined);
}

function afterRun(state: State, now: task.Instant): Step {
  if (mayMove(state) && leftMs(state, now) >= LEAST_ATTEMPT_MS) return askRetry(state, undefined);
  return endings.giveUp(state, 'answerLost');
}
