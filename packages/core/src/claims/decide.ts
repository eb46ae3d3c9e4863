/**
 * The decisions of the claims task. The platform's conditional update alone decides who holds a
 * claim; only its holder may send, and only the holder may free the key again. Everybody else can
 * at most resolve a lapsed attempt to "outcome unknown", so no two attempts can both send.
 * The state is owned by the claims task and updated in place.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as attempts from './attempts.js';
import * as batches from './batches.js';
import type * as command from './command.js';
import * as digests from './digests.js';
import * as keys from './keys.js';
import * as outcomes from './outcomes.js';
import * as states from './state.js';
import * as steps from './steps.js';

/** Attempts that an instance holds at most, those waiting for the platform included. */
export const MAX_ATTEMPTS = 20_000;

type Command = command.Command;
type State = states.State;
type Step = task.Step<State, Command>;

export function decide(state: State, message: messages.ClaimsMessage, now: task.Instant): Step {
  const commands = handle(state, message, now);
  const hasLeft = state.isDraining && state.attempts.size === 0;
  return { state, commands: hasLeft ? [...commands, { kind: 'left' }] : commands };
}

function handle(
  state: State,
  message: messages.ClaimsMessage,
  now: task.Instant,
): readonly Command[] {
  switch (message.type) {
    case 'claims.claim':
      return onClaim(state, message, now);
    case 'claims.record-outcome':
      return onRecord(state, message, now);
    case 'claims.timer-fired':
      return onTick(state, message.timer, now);
    case 'platform.answered':
      return onPlatform(state, message, now);
    case 'peers.digest-received':
      return onDigest(state, message, now);
    case 'membership.changed':
      return onMembers(state, message.members);
    case 'configuration.adopted': {
      const { claimRetentionMs } = message.configuration.limits;
      const retentionMs = Math.min(claimRetentionMs, keys.MAX_RETENTION_MS);
      Object.assign(state.batches, { retentionMs });
      return [];
    }
    case 'claims.callers-finished':
      Object.assign(state, { isDraining: true });
      return [];
    case 'task.start':
    case 'task.drain':
    case 'task.stop':
      return [];
    default:
      return results.assertNever(message);
  }
}

function onMembers(state: State, members: readonly messages.Member[]): readonly Command[] {
  const live = members
    .filter(({ state: listed, evidence }) => listed === 'live' && evidence !== 'silent')
    .map(({ name }) => name);
  Object.assign(state, { instances: [state.ownName, ...live] });
  return [];
}

type ClaimMessage = Extract<messages.ClaimsMessage, { type: 'claims.claim' }>;

function onClaim(state: State, message: ClaimMessage, now: task.Instant): readonly Command[] {
  const { clientAccount, key } = message;
  const age = keys.ageOf(key, now.wallMs, state.batches.retentionMs);
  switch (age) {
    case 'expired':
      return [attempts.answer(message, { kind: 'key-expired' })];
    case 'from-future':
      return [attempts.answer(message, { kind: 'key-from-future' })];
    case 'valid':
      return state.attempts.size < MAX_ATTEMPTS
        ? beginClaim(state, message, keys.placeOf(clientAccount, key), now)
        : [attempts.answer(message, attempts.unavailable('too many claims are open'))];
    default:
      return results.assertNever(age);
  }
}

function beginClaim(
  state: State,
  message: ClaimMessage,
  place: keys.Place,
  now: task.Instant,
): readonly Command[] {
  const chosen = states.chooseGatherer(state, place, now);
  if (chosen === state.ownName && state.batches.isSuspended) {
    return [attempts.answer(message, attempts.unavailable('the platform does not answer'))];
  }
  const { clientAccount, key, digest, timeoutMs, requestId, replyTo } = message;
  const attemptId = `${state.incarnation}-${state.nextId}`;
  const lapsesAtMs = now.wallMs + attempts.SEND_WITHIN_MS + timeoutMs + attempts.LAPSE_MARGIN_MS;
  const operation = { kind: 'claim', digest, attemptId, atMs: now.wallMs, lapsesAtMs } as const;
  const isForwarded = chosen !== state.ownName;
  const startedAtMs = now.monotonicMs;
  const claim: messages.Claim = { clientAccount, key, digest, attemptId };
  const attempt: attempts.Attempt = {
    attemptId,
    place,
    phase: { kind: 'claiming', requestId, replyTo, claim, operation, startedAtMs, isForwarded },
  };
  state.attempts.set(attemptId, attempt);
  Object.assign(state, { nextId: state.nextId + 1 });
  const withinMs = isForwarded ? attempts.GATHERER_WITHIN_MS : attempts.CLAIM_WITHIN_MS;
  const wait = steps.schedule(steps.timerOf(operation), withinMs);
  return [wait, ...steps.submit(state, chosen, place, operation, now)];
}

type RecordMessage = Extract<messages.ClaimsMessage, { type: 'claims.record-outcome' }>;

function onRecord(state: State, message: RecordMessage, now: task.Instant): readonly Command[] {
  const { requestId, replyTo, claim, outcome } = message;
  const attempt = state.attempts.get(claim.attemptId);
  if (attempt?.phase.kind !== 'held') return [attempts.confirm(message, false)];
  const settled = outcomes.toSettled(outcome);
  const operation = { kind: 'record', attemptId: claim.attemptId, outcome: settled } as const;
  const phase = { kind: 'recording', requestId, replyTo, operation, isConfirmed: false } as const;
  Object.assign(attempt, { phase });
  const chosen = states.chooseGatherer(state, attempt.place, now);
  const wait = steps.schedule(steps.timerOf(operation), attempts.RECORD_ACK_MS);
  return [wait, ...steps.submit(state, chosen, attempt.place, operation, now)];
}

function onDigest(
  state: State,
  message: messages.DigestReceived,
  now: task.Instant,
): readonly Command[] {
  const parsed = digests.parseDigest(message.digest);
  if (parsed.isErr()) return [];
  const digest = parsed.value;
  switch (digest.kind) {
    case 'ask':
      return onAsk(state, message.from, digest, now);
    case 'tell':
      return digest.told.flatMap((told) => onTold(state, told, now));
    default:
      return results.assertNever(digest);
  }
}

/**
 * A late grant of an attempt that has ended here is a claim that nobody holds: it is taken back.
 * Attempts of an earlier start of this instance are left alone: they may have been sent.
 */
function onTold(state: State, told: digests.Told, now: task.Instant): readonly Command[] {
  const { operation, attemptId, place, result } = told;
  const isGhost =
    operation === 'claim' &&
    result.kind === 'granted' &&
    !state.attempts.has(attemptId) &&
    attemptId.startsWith(`${state.incarnation}-`);
  return isGhost
    ? steps.release(state, attemptId, place, now)
    : steps.onResult(state, operation, attemptId, result, now);
}

function onAsk(
  state: State,
  from: string,
  { asked }: Extract<digests.Digest, { kind: 'ask' }>,
  now: task.Instant,
): readonly Command[] {
  const requester = { kind: 'peer', name: from } as const;
  const arrivedAtMs = now.monotonicMs;
  const item = { ...asked, depth: 0, requester, arrivedAtMs, isFence: false };
  if (!state.batches.isSuspended) {
    return steps.advance(state, batches.enqueue(states.scopeOf(state, now), item), now);
  }
  const result = { kind: 'unavailable' } as const;
  return steps.advance(state, { commands: [], done: [{ item, result }], hasFailed: false }, now);
}

function onTick(state: State, timer: messages.ClaimsTimer, now: task.Instant): readonly Command[] {
  switch (timer.kind) {
    case 'page':
      return steps.advance(state, batches.pump(states.scopeOf(state, now), timer.key), now);
    case 'attempt':
      return onOverdue(state, timer.attemptId, now);
    case 'probe':
      return [{ kind: 'read', ticket: steps.PROBE_KEY, key: steps.PROBE_KEY }];
    default:
      return results.assertNever(timer);
  }
}

/** A gatherer that is silent is passed over: the own conditional update is as good as its. */
function onOverdue(state: State, attemptId: string, now: task.Instant): readonly Command[] {
  const attempt = state.attempts.get(attemptId);
  if (!attempt) return [];
  const { phase, place } = attempt;
  switch (phase.kind) {
    case 'claiming':
      if (!phase.isForwarded || state.batches.isSuspended) {
        return steps.abandon(state, attempt, phase, now);
      }
      states.doubtGatherer(state, place, now);
      Object.assign(attempt, { phase: { ...phase, isForwarded: false } });
      return [
        steps.schedule(
          steps.timerOf(phase.operation),
          attempts.CLAIM_WITHIN_MS - attempts.GATHERER_WITHIN_MS,
        ),
        ...steps.enqueueOwn(state, place, phase.operation, now),
      ];
    case 'recording':
      Object.assign(attempt, { phase: { ...phase, isConfirmed: true } });
      return [
        attempts.confirm(phase, false),
        ...steps.enqueueOwn(state, place, phase.operation, now),
      ];
    case 'held':
    case 'releasing':
      return [];
    default:
      return results.assertNever(phase);
  }
}

function onPlatform(
  state: State,
  { correlationId, answer }: messages.PlatformAnswered,
  now: task.Instant,
): readonly Command[] {
  if (correlationId !== steps.PROBE_KEY) {
    return steps.advance(
      state,
      batches.onPlatform(states.scopeOf(state, now), correlationId, answer),
      now,
    );
  }
  if (!state.batches.isSuspended) return [];
  if (answer.kind === 'unavailable') return [steps.schedule({ kind: 'probe' }, steps.PROBE_MS)];
  const note: Command = { kind: 'note', name: 'claimsResumed', detail: 'the platform answers' };
  return [note, ...steps.advance(state, batches.resume(states.scopeOf(state, now)), now)];
}
