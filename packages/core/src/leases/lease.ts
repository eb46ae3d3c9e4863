/**
 * A lease on one object of the platform's versioned store: at most one holder at a time may act, with
 * a fencing token that increases from one holder to the next. The fencing token is the object's version after the acquiring write, so the
 * platform itself guarantees that it increases.
 */
import * as zod from 'zod';

import type * as task from '../kernel/task.js';
import type * as platform from '../messages/platform.js';

/** A record with a longer term counts as unreadable: nobody could wait for its end. */
const MAX_TERM_MS = 600_000;

/** The value that is stored in the lease’s platform object. */
export const recordSchema = zod.object({
  holder: zod.string(),
  incarnation: zod.string(),
  /** How long the holder may act after each write; contenders wait at least this long. */
  termMs: zod.number().positive().max(MAX_TERM_MS),
  state: zod.enum(['held', 'released']),
});

export type LeaseRecord = zod.infer<typeof recordSchema>;

/** Fixed for the life of one process. */
export type Options = {
  /** Key of the platform object, such as `leases/orders`. */
  key: string;
  /** Name of this instance. */
  holder: string;
  /** Random, new at each start of the process. */
  incarnation: string;
  termMs: number;
  /**
   * Allows for clocks that run at different rates: a holder stops this much before the end of the
   * term, a contender waits this much longer.
   */
  marginMs: number;
  /** Assumed upper bound on the time from sending an order to its effect at an upstream. */
  maxDeliveryMs: number;
};

export const DEFAULT_TERM_MS = 10_000;
export const DEFAULT_MARGIN_MS = 1_000;
export const DEFAULT_MAX_DELIVERY_MS = 5_000;

/** Options with the default durations. */
export function defaultOptions(key: string, holder: string, incarnation: string): Options {
  return {
    key,
    holder,
    incarnation,
    termMs: DEFAULT_TERM_MS,
    marginMs: DEFAULT_MARGIN_MS,
    maxDeliveryMs: DEFAULT_MAX_DELIVERY_MS,
  };
}

/**
 * A conditional update whose result is not known yet. It is retried with the same `writeId` until
 * the result is known.
 */
export type PendingWrite = {
  writeId: string;
  expectedVersion: number;
  /** Whether effects of another holder may still be on their way. */
  hasPredecessor: boolean;
  attempt: number;
  /**
   * When the first attempt was sent: the earliest time at which the write can have taken effect.
   */
  firstSentAt: task.Instant;
  /** When the next attempt is due unless a response arrives first, in monotonic time. */
  retryAtMs: number;
};

/** Another holder's record, unchanged since `seenAtMs` on this instance's monotonic clock. */
export type Observation = { version: number; record: LeaseRecord; seenAtMs: number };

/** A holder's view of its own lease. */
export type Grant = {
  fencing: number;
  version: number;
  /** The holder stops when its wall clock or its monotonic clock reaches this; without the margin. */
  expiresAt: task.Instant;
  /**
   * Until this monotonic time, orders of a previous holder may still reach upstreams that do not
   * check fencing tokens.
   */
  graceUntilMs: number;
};

export type Phase =
  /** This instance does not want the lease. */
  | { kind: 'idle' }
  /** `retryAtMs`: when the read is retried unless a response arrives first. */
  | {
      kind: 'reading';
      correlationId: string;
      retryAtMs: number;
      observation: Observation | undefined;
    }
  /** Another instance holds it, according to the last read. */
  | { kind: 'waiting'; observation: Observation }
  | { kind: 'acquiring'; write: PendingWrite }
  | { kind: 'held'; grant: Grant; renewal: PendingWrite | undefined }
  | { kind: 'releasing'; write: PendingWrite };

export type Lease = {
  options: Options;
  phase: Phase;
  nextId: number;
  /** End of the term that this process held last, or holds; by its own clocks. */
  heldUntil: task.Instant | undefined;
  /** Additional time between reads of a lease that another instance holds; the first standbys have none. */
  standbyDelayMs: number;
};

/** Carried out by the task that owns the lease. */
export type Command =
  | { kind: 'lease-read'; correlationId: string; key: string }
  | {
      kind: 'lease-write';
      correlationId: string;
      key: string;
      expectedVersion: number;
      value: LeaseRecord;
      writeId: string;
    }
  /** Calls `wake` after this delay. A later one replaces an earlier one. */
  | { kind: 'lease-wake'; afterMs: number }
  | { kind: 'lease-acquired'; fencing: number }
  | { kind: 'lease-lost'; fencing: number };

export type Step = task.Step<Lease, Command>;

export function create(given: Options): Lease {
  return {
    options: given,
    phase: { kind: 'idle' },
    nextId: 1,
    heldUntil: undefined,
    standbyDelayMs: 0,
  };
}

/** Converts a read or write command to the message for the platform task. */
export function toPlatform(
  command: Extract<Command, { kind: 'lease-read' | 'lease-write' }>,
  replyTo: task.Address<platform.PlatformAnswered>,
): platform.PlatformMessage {
  if (command.kind === 'lease-read') {
    const { correlationId, key } = command;
    return { type: 'platform.read', correlationId, key, replyTo };
  }
  const { correlationId, key, expectedVersion, value, writeId } = command;
  return {
    type: 'platform.write',
    correlationId,
    key,
    expectedVersion,
    value,
    writeId,
    replyTo,
  };
}
