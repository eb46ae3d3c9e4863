/** The platform calls that a lease makes, and the interpretation of their responses. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import type * as lease from './lease.js';

/** Time without a response from the platform task after which a call is retried. */
export const ANSWER_TIMEOUT_MS = 4_000;
/** Delay before a failed call is retried. */
export const RETRY_MS = 500;

export function read(
  given: lease.Lease,
  observation: lease.Observation | undefined,
  now: task.Instant,
): lease.Step {
  const { key, incarnation } = given.options;
  const correlationId = `${key}:${incarnation}:read-${given.nextId}`;
  return {
    state: {
      ...given,
      nextId: given.nextId + 1,
      phase: {
        kind: 'reading',
        correlationId,
        retryAtMs: now.monotonicMs + ANSWER_TIMEOUT_MS,
        observation,
      },
    },
    commands: [
      { kind: 'lease-read', correlationId, key },
      { kind: 'lease-wake', afterMs: ANSWER_TIMEOUT_MS },
    ],
  };
}

/** Schedules a retry of a failed read. */
export function retryReadLater(
  given: lease.Lease,
  phase: Extract<lease.Phase, { kind: 'reading' }>,
  now: task.Instant,
): lease.Step {
  const retryAtMs = now.monotonicMs + RETRY_MS;
  return wakeAfter({ ...given, phase: { ...phase, retryAtMs } }, RETRY_MS);
}

/** Creates a conditional update with a new write id. */
export function newWrite(
  given: lease.Lease,
  expectedVersion: number,
  now: task.Instant,
  hasPredecessor = expectedVersion > 0,
) {
  const write: lease.PendingWrite = {
    writeId: `${given.options.key}:${given.options.incarnation}:write-${given.nextId}`,
    expectedVersion,
    hasPredecessor,
    attempt: 1,
    firstSentAt: now,
    retryAtMs: now.monotonicMs + ANSWER_TIMEOUT_MS,
  };
  return { state: { ...given, nextId: given.nextId + 1 }, write };
}

/** Sends one attempt of a write. */
export function send(
  given: lease.Lease,
  write: lease.PendingWrite,
  state: lease.LeaseRecord['state'],
): lease.Step {
  const { key, holder, incarnation, termMs } = given.options;
  const command: lease.Command = {
    kind: 'lease-write',
    correlationId: correlationIdOf(write),
    key,
    expectedVersion: write.expectedVersion,
    value: { holder, incarnation, termMs, state },
    writeId: write.writeId,
  };
  return { state: given, commands: [command, { kind: 'lease-wake', afterMs: ANSWER_TIMEOUT_MS }] };
}

/** Retries a write under the same id, so that at most one attempt can take effect. */
export function retryWriteIfDue(
  given: lease.Lease,
  write: lease.PendingWrite,
  now: task.Instant,
): lease.Step {
  const waitMs = write.retryAtMs - now.monotonicMs;
  if (waitMs > 0) return wakeAfter(given, waitMs);
  const retryAtMs = now.monotonicMs + ANSWER_TIMEOUT_MS;
  const retried = { ...write, attempt: write.attempt + 1, retryAtMs };
  return send({ ...given, phase: withWrite(given.phase, retried) }, retried, 'held');
}

/** Schedules a retry of a write that got no conclusive response. */
export function retryWriteLater(
  given: lease.Lease,
  write: lease.PendingWrite,
  now: task.Instant,
): lease.Step {
  const retried = { ...write, retryAtMs: now.monotonicMs + RETRY_MS };
  return wakeAfter({ ...given, phase: withWrite(given.phase, retried) }, RETRY_MS);
}

function withWrite(phase: lease.Phase, write: lease.PendingWrite): lease.Phase {
  return phase.kind === 'held' ? { ...phase, renewal: write } : { kind: 'acquiring', write };
}

function correlationIdOf({ writeId, attempt }: lease.PendingWrite): string {
  return `${writeId}#${attempt}`;
}

/** The response to any attempt settles the write, since all attempts have the same write id. */
export function isAttemptOf({ writeId }: lease.PendingWrite, correlationId: string): boolean {
  return correlationId.startsWith(`${writeId}#`);
}

/** The version that the write created, if the response shows that any attempt took effect. */
export function versionWritten(
  write: lease.PendingWrite,
  answer: messages.PlatformAnswer,
): number | undefined {
  if (answer.kind === 'written') return answer.version;
  if (answer.kind !== 'conflict') return undefined;
  return answer.current?.writeId === write.writeId ? answer.current.version : undefined;
}

/** Counts the term from the first attempt, the earliest one that can have taken effect. */
export function expiryOf({ termMs, marginMs }: lease.Options, { firstSentAt }: lease.PendingWrite) {
  return {
    monotonicMs: firstSentAt.monotonicMs + termMs - marginMs,
    wallMs: firstSentAt.wallMs + termMs - marginMs,
  };
}

/**
 * End of the grace period. The previous holder had stopped when the write was first sent, but its
 * last effect may still be in flight for up to `maxDeliveryMs`.
 */
export function graceEndMs({ maxDeliveryMs }: lease.Options, write: lease.PendingWrite): number {
  return write.firstSentAt.monotonicMs + (write.hasPredecessor ? maxDeliveryMs : 0);
}

/** Asks the embedding task to call `wake` after a delay. */
export function wakeAfter(state: lease.Lease, afterMs: number): lease.Step {
  return { state, commands: [{ kind: 'lease-wake', afterMs }] };
}
