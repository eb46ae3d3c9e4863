/**
 * A lease on one platform object: the right of one holder at a time to act, with a fencing number
 * that only grows. The object's version at the acquiring write is the fencing number, so the
 * platform itself guarantees its growth.
 */
import * as zod from 'zod';

import type * as task from '../kernel/task.js';
import type * as platform from '../messages/platform.js';

/** What the platform's object holds. */
export const recordSchema = zod.object({
  holder: zod.string(),
  incarnation: zod.string(),
  /** How long the holder may act after each write; contenders wait at least this long. */
  termMs: zod.number().positive(),
  state: zod.enum(['held', 'released']),
});

export type LeaseRecord = zod.infer<typeof recordSchema>;

/** Fixed for the life of one process. */
export type Options = {
  /** Key of the platform's object, such as `leases/orders`. */
  key: string;
  /** Name of this instance. */
  holder: string;
  /** Random and new at each start of the process. */
  incarnation: string;
  termMs: number;
  /** How much earlier a holder stops, and how much longer a contender waits, than the term. */
  marginMs: number;
  /** The longest that an effect may be on its way to an upstream. */
  maxDeliveryMs: number;
};

export const DEFAULT_TERM_MS = 10_000;
export const DEFAULT_MARGIN_MS = 1_000;
export const DEFAULT_MAX_DELIVERY_MS = 5_000;

/** Terms with the usual durations. */
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

/** A conditional update whose end is not known yet; repeated with the same id until it is. */
export type PendingWrite = {
  writeId: string;
  expectedVersion: number;
  attempt: number;
  /** When the first attempt was sent: the earliest time at which it may have taken effect. */
  firstSentAt: task.Instant;
  /** When the next attempt is due unless an answer comes before. */
  retryAtMs: number;
};

/** Another holder's record, unchanged since `seenAtMs` of the own monotonic clock. */
export type Observation = { version: number; record: LeaseRecord; seenAtMs: number };

/** What a holder knows of its own lease. */
export type Grant = {
  fencing: number;
  version: number;
  /** The holder stops at this reading of either clock, whichever comes first. */
  expiresAt: task.Instant;
  /** Until then a previous holder's effects may still arrive where fencing is not checked. */
  graceUntilMs: number;
};

export type Phase =
  /** Not wanted. */
  | { kind: 'idle' }
  /** `retryAtMs`: when the read is repeated unless an answer comes before. */
  | {
      kind: 'reading';
      correlationId: string;
      retryAtMs: number;
      observation: Observation | undefined;
    }
  /** Another one holds it, as far as is known. */
  | { kind: 'waiting'; observation: Observation }
  | { kind: 'acquiring'; write: PendingWrite }
  | { kind: 'held'; grant: Grant; renewal: PendingWrite | undefined }
  | { kind: 'releasing'; write: PendingWrite };

export type Lease = { options: Options; phase: Phase; nextId: number };

/** Carried out by the task that embeds the lease. */
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
  /** Call `wake` after this delay; a later command replaces an earlier one. */
  | { kind: 'lease-wake'; afterMs: number }
  | { kind: 'lease-acquired'; fencing: number }
  | { kind: 'lease-lost'; fencing: number };

export type Step = task.Step<Lease, Command>;

export function create(given: Options): Lease {
  return { options: given, phase: { kind: 'idle' }, nextId: 1 };
}

/** The message to the platform task that a read or write command stands for. */
export function toPlatform(
  command: Extract<Command, { kind: 'lease-read' | 'lease-write' }>,
  replyTo: task.Address<platform.PlatformAnswered>,
): platform.PlatformMessage {
  if (command.kind === 'lease-read') {
    const { correlationId, key } = command;
    return { type: 'platform.read', correlationId, key, replyTo };
  }
  const { correlationId: ticket, key, expectedVersion, value, writeId } = command;
  return {
    type: 'platform.write',
    correlationId: ticket,
    key,
    expectedVersion,
    value,
    writeId,
    replyTo,
  };
}
