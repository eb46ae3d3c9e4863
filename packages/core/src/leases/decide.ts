/**
 * The life of a lease. A contender takes over only after it saw one version unchanged for the whole
 * term and a margin by its own monotonic clock; a holder counts its term from before its write was
 * sent and stops a margin early. No two clocks are ever compared.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as platformCalls from './platform-calls.js';
import * as lease from './lease.js';

/** A holder renews once this share of its term has passed. */
const RENEWAL_SHARE = 0.3;
/** Largest difference in rate between the monotonic clocks of two instances. */
const MAX_CLOCK_DRIFT = 0.01;

/** Begins to acquire the lease; without effect if that has begun already. */
export function acquire(given: lease.Lease, now: task.Instant): lease.Step {
  if (given.phase.kind !== 'idle') return { state: given, commands: [] };
  return platformCalls.read(given, undefined, now);
}

/**
 * Gives the lease up. The caller must have finished, or given up, every effect under it. A release
 * that does not reach the platform costs the next holder the rest of the term only.
 */
export function release(given: lease.Lease, now: task.Instant): lease.Step {
  if (given.phase.kind !== 'held') {
    return { state: { ...given, phase: { kind: 'idle' } }, commands: [] };
  }
  const { version } = given.phase.grant;
  const { state, write } = platformCalls.newWrite(given, version, now);
  return platformCalls.send({ ...state, phase: { kind: 'releasing', write } }, write, 'released');
}

/** To be called when a `lease-wake` is due; calling it more often is harmless. */
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

/** Takes in the platform's answer; one to a call that has been given up is dropped. */
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

function isExpected(phase: lease.Phase, ticket: string): boolean {
  switch (phase.kind) {
    case 'reading':
      return ticket === phase.correlationId;
    case 'acquiring':
    case 'releasing':
      return platformCalls.isAttemptOf(phase.write, ticket);
    case 'held':
      return phase.renewal !== undefined && platformCalls.isAttemptOf(phase.renewal, ticket);
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
      return takeOver(given, 0, now);
    case 'object':
      return judge(given, phase.observation, answer.object, now);
    case 'unavailable':
    case 'written':
    case 'conflict':
      return platformCalls.retryReadLater(given, phase, now);
    default:
      return results.assertNever(answer);
  }
}

/** Takes the lease if its holder has let it lapse, released it, or was this process itself. */
function judge(
  given: lease.Lease,
  before: lease.Observation | undefined,
  object: messages.StoredObject,
  now: task.Instant,
): lease.Step {
  const checked = lease.recordSchema.safeParse(object.value);
  const record: lease.LeaseRecord = checked.success ? checked.data : unreadable(given.options);
  const isOwn = record.incarnation === given.options.incarnation;
  if (isOwn || record.state === 'released') return takeOver(given, object.version, now);
  const isUnchanged = before?.version === object.version;
  const observation = isUnchanged
    ? before
    : { version: object.version, record, seenAtMs: now.monotonicMs };
  const waitMs = takeOverAtMs(given, observation) - now.monotonicMs;
  if (waitMs <= 0) return takeOver(given, object.version, now);
  return platformCalls.wakeAfter({ ...given, phase: { kind: 'waiting', observation } }, waitMs);
}

/** A record that cannot be read is waited out like one with the own term. */
function unreadable({ termMs }: lease.Options): lease.LeaseRecord {
  return { holder: '', incarnation: '', termMs, state: 'held' };
}

function takeOverAtMs({ options }: lease.Lease, { record, seenAtMs }: lease.Observation): number {
  return seenAtMs + record.termMs * (1 + MAX_CLOCK_DRIFT) + options.marginMs;
}

function takeOver(given: lease.Lease, version: number, now: task.Instant): lease.Step {
  const { state, write } = platformCalls.newWrite(given, version, now);
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
    const grip: lease.Grant = {
      fencing: written,
      version: written,
      expiresAt: platformCalls.expiryOf(given.options, write),
      graceUntilMs: platformCalls.graceEndMs(given.options, write),
    };
    const held: lease.Lease = {
      ...given,
      phase: { kind: 'held', grant: grip, renewal: undefined },
    };
    const next = renewIfDue(held, grip, now);
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
    return renewIfDue({ ...given, phase }, renewed, now);
  }
  if (answer.kind !== 'conflict') return platformCalls.retryWriteLater(given, renewal, now);
  const next = platformCalls.read(given, undefined, now);
  return {
    state: next.state,
    commands: [{ kind: 'lease-lost', fencing: grant.fencing }, ...next.commands],
  };
}

/** A lapsed lease is renewed as well: if that succeeds, nobody held it in between. */
function renewIfDue(given: lease.Lease, grip: lease.Grant, now: task.Instant): lease.Step {
  const { termMs, marginMs } = given.options;
  const renewAtMs = grip.expiresAt.monotonicMs + marginMs - termMs * (1 - RENEWAL_SHARE);
  const waitMs = renewAtMs - now.monotonicMs;
  if (waitMs > 0) return platformCalls.wakeAfter(given, waitMs);
  const { state, write } = platformCalls.newWrite(given, grip.version, now);
  return platformCalls.send(
    { ...state, phase: { kind: 'held', grant: grip, renewal: write } },
    write,
    'held',
  );
}

/** Gives the lease up without a word to the platform: an upstream has seen a later holder. */
export function stepDown(given: lease.Lease, now: task.Instant): lease.Step {
  return platformCalls.read(given, undefined, now);
}
