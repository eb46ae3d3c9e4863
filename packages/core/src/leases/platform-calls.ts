/** The calls of the platform that a lease makes, and what their answers mean. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import type * as lease from './lease.js';

/** The longest that the platform task may leave a call unanswered. */
export const ANSWER_TIMEOUT_MS = 4_000;
/** Pause before a call that failed is repeated. */
export const RETRY_MS = 500;

/** Reads the lease's object. */
export function read(
  given: lease.Lease,
  observation: lease.Observation | undefined,
  now: task.Instant,
): lease.Step {
  const { key, incarnation } = given.options;
  const ticket = `${key}:${incarnation}:read-${given.nextId}`;
  return {
    state: {
      ...given,
      nextId: given.nextId + 1,
      phase: {
        kind: 'reading',
        correlationId: ticket,
        retryAtMs: now.monotonicMs + ANSWER_TIMEOUT_MS,
        observation,
      },
    },
    commands: [
      { kind: 'lease-read', correlationId: ticket, key },
      { kind: 'lease-wake', afterMs: ANSWER_TIMEOUT_MS },
    ],
  };
}

/** Repeats a read that was not answered, after a pause. */
export function retryReadLater(
  given: lease.Lease,
  phase: Extract<lease.Phase, { kind: 'reading' }>,
  now: task.Instant,
): lease.Step {
  const retryAtMs = now.monotonicMs + RETRY_MS;
  return wakeAfter({ ...given, phase: { ...phase, retryAtMs } }, RETRY_MS);
}

/** Begins a conditional update under an id of its own. */
export function newWrite(given: lease.Lease, expectedVersion: number, now: task.Instant) {
  const write: lease.PendingWrite = {
    writeId: `${given.options.key}:${given.options.incarnation}:write-${given.nextId}`,
    expectedVersion,
    attempt: 1,
    firstSentAt: now,
    retryAtMs: now.monotonicMs + ANSWER_TIMEOUT_MS,
  };
  return { state: { ...given, nextId: given.nextId + 1 }, write };
}

/** Sends one attempt. */
export function send(
  given: lease.Lease,
  write: lease.PendingWrite,
  state: lease.LeaseRecord['state'],
): lease.Step {
  const { key, holder, incarnation, termMs } = given.options;
  const command: lease.Command = {
    kind: 'lease-write',
    correlationId: ticketOf(write),
    key,
    expectedVersion: write.expectedVersion,
    value: { holder, incarnation, termMs, state },
    writeId: write.writeId,
  };
  return { state: given, commands: [command, { kind: 'lease-wake', afterMs: ANSWER_TIMEOUT_MS }] };
}

/** Repeats a write under its own id: at most one attempt can take effect. */
export function retryWriteIfDue(
  given: lease.Lease,
  write: lease.PendingWrite,
  now: task.Instant,
): lease.Step {
  const waitMs = write.retryAtMs - now.monotonicMs;
  if (waitMs > 0) return wakeAfter(given, waitMs);
  const retryAtMs = now.monotonicMs + ANSWER_TIMEOUT_MS;
  const repeated = { ...write, attempt: write.attempt + 1, retryAtMs };
  return send({ ...given, phase: withWrite(given.phase, repeated) }, repeated, 'held');
}

/** The write was not answered: it is repeated after a pause. */
export function retryWriteLater(
  given: lease.Lease,
  write: lease.PendingWrite,
  now: task.Instant,
): lease.Step {
  const repeated = { ...write, retryAtMs: now.monotonicMs + RETRY_MS };
  return wakeAfter({ ...given, phase: withWrite(given.phase, repeated) }, RETRY_MS);
}

function withWrite(phase: lease.Phase, write: lease.PendingWrite): lease.Phase {
  return phase.kind === 'held' ? { ...phase, renewal: write } : { kind: 'acquiring', write };
}

function ticketOf({ writeId, attempt }: lease.PendingWrite): string {
  return `${writeId}#${attempt}`;
}

/** Any attempt's answer tells the end of the write, since all attempts carry its id. */
export function isAttemptOf({ writeId }: lease.PendingWrite, ticket: string): boolean {
  return ticket.startsWith(`${writeId}#`);
}

/** The version that the write made, if the answer shows that it took effect, now or earlier. */
export function versionWritten(
  write: lease.PendingWrite,
  answer: messages.PlatformAnswer,
): number | undefined {
  if (answer.kind === 'written') return answer.version;
  if (answer.kind !== 'conflict') return undefined;
  return answer.current?.writeId === write.writeId ? answer.current.version : undefined;
}

/** The holder counts its term from the first attempt, the earliest that may have taken effect. */
export function expiryOf({ termMs, marginMs }: lease.Options, { firstSentAt }: lease.PendingWrite) {
  return {
    monotonicMs: firstSentAt.monotonicMs + termMs - marginMs,
    wallMs: firstSentAt.wallMs + termMs - marginMs,
  };
}

/** The previous holder had stopped when the write was first sent; its last effect may be late. */
export function graceEndMs({ maxDeliveryMs }: lease.Options, write: lease.PendingWrite): number {
  const hasPredecessor = write.expectedVersion > 0;
  return write.firstSentAt.monotonicMs + (hasPredecessor ? maxDeliveryMs : 0);
}

/** Asks the embedding task to call `wake` later. */
export function wakeAfter(state: lease.Lease, afterMs: number): lease.Step {
  return { state, commands: [{ kind: 'lease-wake', afterMs }] };
}
