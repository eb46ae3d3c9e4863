/**
 * State transitions of the claims task. Only the platform's conditional update decides who holds a
 * claim; only the holder may send the request, and only the holder may release the key. Other
 * instances can at most resolve a lapsed attempt to "outcome unknown", so that two attempts can
 * never both send.
 * The state is owned by the claims task and updated in place.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as attempts from './attempts.js';
import * as batches from './batches.js';
import type * as command from './command.js';
import * as peerMessages from './peer-messages.js';
import * as keys from './keys.js';
import * as outcomes from './outcomes.js';
import * as states from './state.js';
import * as attemptOperations from './attempt-operations.js';

/** Maximum number of attempts of one instance, including those that wait for the platform. */
export const MAX_ATTEMPTS = 20_000;

type Command = command.Command;
type State = states.State;
type Step = task.Step<State, Command>;

export function decide(state: State, message: messages.ClaimsMessage, now: task.Instant): Step {
  const commands = handle(state, message, now);
  const isDrained = state.isDraining && state.attempts.size === 0;
  return { state, commands: isDrained ? [...commands, { kind: 'left' }] : commands };
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
      return onTimer(state, message.timer, now);
    case 'platform.answered':
      return onPlatformAnswer(state, message, now);
    case 'peers.digest-received':
      return onPeerMessage(state, message, now);
    case 'membership.changed':
      return updateInstances(state, message.members);
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

function updateInstances(state: State, members: readonly messages.Member[]): readonly Command[] {
  const live = members
    .filter(({ state: listed, evidence }) => listed === 'live' && evidence !== 'silent')
    .map(({ name }) => name);
  Object.assign(state, { instances: [state.ownName, ...live] });
  return [];
}

type ClaimMessage = Extract<messages.ClaimsMessage, { type: 'claims.claim' }>;

function onClaim(state: State, message: ClaimMessage, now: task.Instant): readonly Command[] {
  const { clientAccount, key } = message;
  const age = keys.classifyAge(key, now.wallMs, state.batches.retentionMs);
  switch (age) {
    case 'expired':
      return [attempts.answerCommand(message, { kind: 'key-expired' })];
    case 'from-future':
      return [attempts.answerCommand(message, { kind: 'key-from-future' })];
    case 'valid':
      return state.attempts.size < MAX_ATTEMPTS
        ? startClaim(state, message, keys.locate(clientAccount, key), now)
        : [attempts.answerCommand(message, attempts.unavailable('too many claims are open'))];
    default:
      return results.assertNever(age);
  }
}

function startClaim(
  state: State,
  message: ClaimMessage,
  place: keys.Location,
  now: task.Instant,
): readonly Command[] {
  const chosen = states.chooseCoordinator(state, place, now);
  if (chosen === state.ownName && state.batches.isSuspended) {
    return [attempts.answerCommand(message, attempts.unavailable('the platform does not answer'))];
  }
  const { clientAccount, key, digest, timeoutMs, requestId, replyTo } = message;
  const attemptId = `${state.incarnation}-${state.nextId}`;
  const lapsesAtMs = now.wallMs + attempts.SEND_WINDOW_MS + timeoutMs + attempts.LAPSE_MARGIN_MS;
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
  const operationTimeoutMs = isForwarded
    ? attempts.COORDINATOR_TIMEOUT_MS
    : attempts.CLAIM_TIMEOUT_MS;
  const timeout = attemptOperations.schedule(
    attemptOperations.timerOf(operation),
    operationTimeoutMs,
  );
  return [timeout, ...attemptOperations.submit(state, chosen, place, operation, now)];
}

type RecordMessage = Extract<messages.ClaimsMessage, { type: 'claims.record-outcome' }>;

function onRecord(state: State, message: RecordMessage, now: task.Instant): readonly Command[] {
  const { requestId, replyTo, claim, outcome } = message;
  const attempt = state.attempts.get(claim.attemptId);
  if (attempt?.phase.kind !== 'held') return [attempts.confirmCommand(message, false)];
  const reportedOutcome = outcomes.encode(outcome);
  const operation = {
    kind: 'record',
    attemptId: claim.attemptId,
    outcome: reportedOutcome,
  } as const;
  const phase = { kind: 'recording', requestId, replyTo, operation, isConfirmed: false } as const;
  Object.assign(attempt, { phase });
  const chosen = states.chooseCoordinator(state, attempt.place, now);
  const timeout = attemptOperations.schedule(
    attemptOperations.timerOf(operation),
    attempts.RECORD_ACK_TIMEOUT_MS,
  );
  return [timeout, ...attemptOperations.submit(state, chosen, attempt.place, operation, now)];
}

function onPeerMessage(
  state: State,
  message: messages.DigestReceived,
  now: task.Instant,
): readonly Command[] {
  const parsed = peerMessages.parse(message.digest);
  if (parsed.isErr()) return [];
  const digest = parsed.value;
  switch (digest.kind) {
    case 'ask':
      return onPeerRequest(state, message.from, digest, now);
    case 'tell':
      return digest.told.flatMap((reply) => onReply(state, reply, now));
    default:
      return results.assertNever(digest);
  }
}

/**
 * Releases the claim if it was granted after its attempt ended here, since no request holds it
 * then. Ignores attempts of an earlier incarnation of this instance: their requests may have been
 * sent.
 */
function onReply(state: State, reply: peerMessages.Reply, now: task.Instant): readonly Command[] {
  const { operation, attemptId, place, result } = reply;
  const isOrphanedGrant =
    operation === 'claim' &&
    result.kind === 'granted' &&
    !state.attempts.has(attemptId) &&
    attemptId.startsWith(`${state.incarnation}-`);
  return isOrphanedGrant
    ? attemptOperations.releaseKey(state, attemptId, place, now)
    : attemptOperations.onResult(state, operation, attemptId, result, now);
}

function onPeerRequest(
  state: State,
  from: string,
  { asked }: Extract<peerMessages.Message, { kind: 'ask' }>,
  now: task.Instant,
): readonly Command[] {
  const requester = { kind: 'peer', name: from } as const;
  const arrivedAtMs = now.monotonicMs;
  const item = { ...asked, overflowDepth: 0, requester, arrivedAtMs, isFence: false };
  if (!state.batches.isSuspended) {
    return attemptOperations.dispatchCompletions(
      state,
      batches.enqueue(states.batchContext(state, now), item),
      now,
    );
  }
  const result = { kind: 'unavailable' } as const;
  return attemptOperations.dispatchCompletions(
    state,
    { commands: [], completions: [{ item, result }], isPlatformUnavailable: false },
    now,
  );
}

function onTimer(state: State, timer: messages.ClaimsTimer, now: task.Instant): readonly Command[] {
  switch (timer.kind) {
    case 'page':
      return attemptOperations.dispatchCompletions(
        state,
        batches.flushIfDue(states.batchContext(state, now), timer.key),
        now,
      );
    case 'attempt':
      return onAttemptTimeout(state, timer.attemptId, now);
    case 'probe':
      return [
        {
          kind: 'read',
          correlationId: attemptOperations.PROBE_KEY,
          key: attemptOperations.PROBE_KEY,
        },
      ];
    default:
      return results.assertNever(timer);
  }
}

/**
 * Handles the timeout of an attempt. If the coordinator did not reply, this instance writes the
 * page itself, which is as safe since the write is a conditional update.
 */
function onAttemptTimeout(state: State, attemptId: string, now: task.Instant): readonly Command[] {
  const attempt = state.attempts.get(attemptId);
  if (!attempt) return [];
  const { phase, place } = attempt;
  switch (phase.kind) {
    case 'claiming':
      if (!phase.isForwarded || state.batches.isSuspended) {
        return attemptOperations.refuseClaim(state, attempt, phase, now);
      }
      states.suspectCoordinator(state, place, now);
      Object.assign(attempt, { phase: { ...phase, isForwarded: false } });
      return [
        attemptOperations.schedule(
          attemptOperations.timerOf(phase.operation),
          attempts.CLAIM_TIMEOUT_MS - attempts.COORDINATOR_TIMEOUT_MS,
        ),
        ...attemptOperations.enqueueLocally(state, place, phase.operation, now),
      ];
    case 'recording':
      Object.assign(attempt, { phase: { ...phase, isConfirmed: true } });
      return [
        attempts.confirmCommand(phase, false),
        ...attemptOperations.enqueueLocally(state, place, phase.operation, now),
      ];
    case 'held':
    case 'releasing':
      return [];
    default:
      return results.assertNever(phase);
  }
}

function onPlatformAnswer(
  state: State,
  { correlationId, answer }: messages.PlatformAnswered,
  now: task.Instant,
): readonly Command[] {
  if (correlationId !== attemptOperations.PROBE_KEY) {
    return attemptOperations.dispatchCompletions(
      state,
      batches.onPlatformAnswer(states.batchContext(state, now), correlationId, answer),
      now,
    );
  }
  if (!state.batches.isSuspended) return [];
  if (answer.kind === 'unavailable') {
    return [attemptOperations.schedule({ kind: 'probe' }, attemptOperations.PROBE_MS)];
  }
  const event: Command = {
    kind: 'record-event',
    name: 'claimsResumed',
    detail: 'the platform responds again; pending writes are resumed',
  };
  return [
    event,
    ...attemptOperations.dispatchCompletions(
      state,
      batches.resume(states.batchContext(state, now)),
      now,
    ),
  ];
}
