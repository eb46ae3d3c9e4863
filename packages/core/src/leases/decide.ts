/**
 * State transitions of a lease. A contender takes over only after it has observed one version
 * unchanged for the whole term plus a margin, by its own monotonic clock. A holder counts its term
 * from before it sends its write and stops a margin early. Clocks of two instances are never
 * compared.
 */
import * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as platformCalls from './platform-calls.js';
import * as lease from './lease.js';

/** Share of the term after which a holder renews. */
const RENEWAL_SHARE = 0.3;
/** Upper bound on the relative difference in rate between the monotonic clocks of two instances. */
const MAX_CLOCK_DRIFT = 0.01;

/** Starts acquiring the lease. Has no effect unless the lease is idle. */
export function acquire(given: lease.Lease, now: task.Instant): lease.Step {
  if (given.phase.kind !== 'idle') return { state: given, commands: [] };
  return platformCalls.read(given, undefined, now);
}

/**
 * Releases the lease. The caller must first finish or abandon every effect that it started under
 * the lease. If the release does not reach the platform, the next holder waits for the rest of the
 * term.
 */
export function release(given: lease.Lease, now: task.Instant): lease.Step {
  if (given.phase.kind !== 'held') {
    return { state: { ...given, phase: { kind: 'idle' } }, commands: [] };
  }
  const { version } = given.phase.grant;
  const ended = { ...given, heldUntil: undefined };
  const { state, write } = platformCalls.newWrite(ended, version, now);
  return platformCalls.send({ ...state, phase: { kind: 'releasing', write } }, write, 'released');
}

/** Handles a due `lease-wake`. Additional calls are harmless. */
export function wake(given: lease.Lease, now: task.Instant): lease.Step {
  const { phase } = given;
  switch (phase.kind) {
    case 'idle':
      return { state: given, commands: [] };
    case 'reading':
      return readAt(given, phase.retryAtMs, phase.observation, now);
    case 'waiting':
      return readAt(given, takeOverAtMs(given, phase.observation), phase.observation, now);
    case 'acquiring':
      return platformCalls.retryWriteIfDue(given, phase.write, now);
    case 'held':
      if (phase.renewal) return platformCalls.retryWriteIfDue(given, phase.renewal, now);
      return renewIfDue(given, phase.grant, now);
    case 'releasing':
      return { state: { ...given, phase: { kind: 'idle' } }, commands: [] };
    default:
      return results.assertNever(phase);
  }
}

function readAt(
  given: lease.Lease,
  atMs: number,
  observation: lease.Observation | undefined,
  now: task.Instant,
): lease.Step {
  const waitMs = atMs - now.monotonicMs;
  return waitMs > 0
    ? platformCalls.wakeAfter(given, waitMs)
    : platformCalls.read(given, observation, now);
}

/** Handles a response of the platform. Drops responses to calls that are no longer pending. */
export function onPlatformAnswer(
  given: lease.Lease,
  { correlationId, answer }: messages.PlatformAnswered,
  now: task.Instant,
): lease.Step {
  const { phase } = given;
  if (!isExpected(phase, correlationId)) return { state: given, commands: [] };
  switch (phase.kind) {
    case 'reading':
      return onRead(given, phase, answer, now);
    case 'acquiring':
      return onAcquireAnswer(given, phase.write, answer, now);
    case 'held':
      return onRenewalAnswer(given, phase, answer, now);
    case 'releasing':
      return { state: { ...given, phase: { kind: 'idle' } }, commands: [] };
    case 'idle':
    case 'waiting':
      return { state: given, commands: [] };
    default:
      return results.assertNever(phase);
  }
}

function isExpected(phase: lease.Phase, correlationId: string): boolean {
  switch (phase.kind) {
    case 'reading':
      return correlationId === phase.correlationId;
    case 'acquiring':
    case 'releasing':
      return platformCalls.isAttemptOf(phase.write, correlationId);
    case 'held':
      return phase.renewal !== undefined && platformCalls.isAttemptOf(phase.renewal, correlationId);
    case 'idle':
    case 'waiting':
      return false;
    default:
      return results.assertNever(phase);
  }
}

function onRead(
  given: lease.Lease,
  phase: Extract<lease.Phase, { kind: 'reading' }>,
  answer: messages.PlatformAnswer,
  now: task.Instant,
): lease.Step {
  switch (answer.kind) {
    case 'missing':
      return answer.isFromCopy
        ? evaluateRecord(given, phase.observation, missingRecord(given.options), true, now)
        : takeOver(given, 0, now);
    case 'object': {
      const { object, isFromCopy = false } = answer;
      return evaluateRecord(given, phase.observation, object, isFromCopy, now);
    }
    case 'unavailable':
    case 'written':
    case 'conflict':
      return platformCalls.retryReadLater(given, phase, now);
    default:
      return results.assertNever(answer);
  }
}

/** A record that is missing in an old copy: its holder may not have noticed, and counts its term. */
function missingRecord({ key }: lease.Options): messages.StoredObject {
  return { key, version: 0, value: undefined, writeId: '' };
}

/**
 * Takes the lease over if it has expired, was released, or is held by this process itself. What an old
 * copy has may have been followed by another holder, so only its expiry counts then, or that the term of
 * this process has not ended: all others wait for a whole one.
 */
function evaluateRecord(
  given: lease.Lease,
  before: lease.Observation | undefined,
  object: messages.StoredObject,
  isFromCopy: boolean,
  now: task.Instant,
): lease.Step {
  const checked = lease.recordSchema.safeParse(object.value);
  const record: lease.LeaseRecord = checked.success
    ? checked.data
    : placeholderRecord(given.options);
  const isOwn = record.incarnation === given.options.incarnation;
  const isFree = isFromCopy ? holdsTerm(given, now) : isOwn || record.state === 'released';
  if (isFree) return takeOver(given, object.version, now, isFromCopy);
  const isUnchanged = before?.version === object.version;
  const observation = isUnchanged
    ? before
    : { version: object.version, record, seenAtMs: now.monotonicMs };
  const waitMs = takeOverAtMs(given, observation) - now.monotonicMs;
  if (waitMs <= 0) return takeOver(given, object.version, now, isFromCopy);
  const waiting: lease.Lease = { ...given, phase: { kind: 'waiting', observation } };
  return platformCalls.wakeAfter(waiting, waitMs + given.standbyDelayMs);
}

/** Replaces a record that fails to parse: a contender waits for one term of its own options. */
function placeholderRecord({ termMs }: lease.Options): lease.LeaseRecord {
  return { holder: '', incarnation: '', termMs, state: 'held' };
}

function takeOverAtMs({ options }: lease.Lease, { record, seenAtMs }: lease.Observation): number {
  return seenAtMs + record.termMs * (1 + MAX_CLOCK_DRIFT) + options.marginMs;
}

function holdsTerm({ heldUntil }: lease.Lease, now: task.Instant): boolean {
  return heldUntil !== undefined && !task.hasCome(heldUntil, now);
}

function takeOver(
  given: lease.Lease,
  version: number,
  now: task.Instant,
  isFromCopy = false,
): lease.Step {
  const hasPredecessor = isFromCopy || version > 0;
  const { state, write } = platformCalls.newWrite(given, version, now, hasPredecessor);
  return platformCalls.send({ ...state, phase: { kind: 'acquiring', write } }, write, 'held');
}

function onAcquireAnswer(
  given: lease.Lease,
  write: lease.PendingWrite,
  answer: messages.PlatformAnswer,
  now: task.Instant,
): lease.Step {
  const written = platformCalls.versionWritten(write, answer);
  if (written !== undefined) {
    const grant: lease.Grant = {
      fencing: written,
      version: written,
      expiresAt: platformCalls.expiryOf(given.options, write),
      graceUntilMs: platformCalls.graceEndMs(given.options, write),
    };
    const held: lease.Lease = {
      ...given,
      heldUntil: grant.expiresAt,
      phase: { kind: 'held', grant, renewal: undefined },
    };
    const next = renewIfDue(held, grant, now);
    return {
      state: next.state,
      commands: [{ kind: 'lease-acquired', fencing: written }, ...next.commands],
    };
  }
  if (answer.kind === 'conflict') return platformCalls.read(given, undefined, now);
  return platformCalls.retryWriteLater(given, write, now);
}

function onRenewalAnswer(
  given: lease.Lease,
  { grant, renewal }: Extract<lease.Phase, { kind: 'held' }>,
  answer: messages.PlatformAnswer,
  now: task.Instant,
): lease.Step {
  if (!renewal) return { state: given, commands: [] };
  const written = platformCalls.versionWritten(renewal, answer);
  if (written !== undefined) {
    const renewed = {
      ...grant,
      version: written,
      expiresAt: platformCalls.expiryOf(given.options, renewal),
    };
    const phase: lease.Phase = { kind: 'held', grant: renewed, renewal: undefined };
    return renewIfDue({ ...given, heldUntil: renewed.expiresAt, phase }, renewed, now);
  }
  if (answer.kind !== 'conflict') return platformCalls.retryWriteLater(given, renewal, now);
  const next = platformCalls.read(given, undefined, now);
  return {
    state: next.state,
    commands: [{ kind: 'lease-lost', fencing: grant.fencing }, ...next.commands],
  };
}

/** Also renews an expired lease: if the write succeeds, there was no other holder in between. */
function renewIfDue(given: lease.Lease, grant: lease.Grant, now: task.Instant): lease.Step {
  const { termMs, marginMs } = given.options;
  const renewAtMs = grant.expiresAt.monotonicMs + marginMs - termMs * (1 - RENEWAL_SHARE);
  const waitMs = renewAtMs - now.monotonicMs;
  if (waitMs > 0) return platformCalls.wakeAfter(given, waitMs);
  const { state, write } = platformCalls.newWrite(given, grant.version, now);
  return platformCalls.send(
    { ...state, phase: { kind: 'held', grant, renewal: write } },
    write,
    'held',
  );
}

/** Stops holding the lease without a write to the platform: an upstream has seen a later holder. */
export function stepDown(given: lease.Lease, now: task.Instant): lease.Step {
  return platformCalls.read({ ...given, heldUntil: undefined }, undefined, now);
}
