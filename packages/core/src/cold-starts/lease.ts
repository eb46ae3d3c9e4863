/**
 * A lease on one versioned object of the platform. An observer takes it over only after it has seen
 * the same version for a whole term by its own monotonic clock, so no two clocks are compared.
 */
import * as zod from 'zod';

import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';

/** How long a written lease excludes all other instances. */
export const TERM_MS = 6_000;
/** How much earlier the holder stops; covers clocks that run at different rates. */
export const CLOCK_RATE_MARGIN_MS = 500;
/** The holder renews when less than this remains. */
export const RENEW_BEFORE_MS = 3_000;
/** An answer that has not arrived after this time is treated as lost. */
export const ANSWER_TIMEOUT_MS = 3_000;

/** The value stored in the object. */
const storedLeaseSchema = zod.object({ holder: zod.string() });
export type StoredLease = zod.infer<typeof storedLeaseSchema>;

/** A conditional update in flight; retried with the same id until its outcome is known. */
export type PendingWrite = {
  writeId: string;
  expectedVersion: number;
  value: StoredLease;
  /** When it was first sent; the term of its lease starts then. */
  sentAtMs: number;
  /** The time from which all earlier holders had stopped. */
  sinceMs: number;
};

/** The object's version as the own instance observed it, first at `sinceMs`. */
export type Observation = { version: number; record: StoredLease | undefined; sinceMs: number };

export type Lease =
  | { kind: 'idle'; seen: Observation | undefined }
  | { kind: 'asking'; seen: Observation | undefined; ticket: string; sentAtMs: number }
  | {
      kind: 'writing';
      write: PendingWrite;
      ticket: string;
      triedAtMs: number;
      /** The right that is being renewed, if any. */
      right: messages.ColdStartRight;
    }
  | { kind: 'held'; version: number; right: Extract<messages.ColdStartRight, { kind: 'held' }> };

/** Returns the right that a lease grants. It may have expired: its user compares `untilMs`. */
export function rightOf(lease: Lease): messages.ColdStartRight {
  switch (lease.kind) {
    case 'idle':
    case 'asking':
      return { kind: 'none' };
    case 'writing':
    case 'held':
      return lease.right;
    default:
      return results.assertNever(lease);
  }
}

/** Whether no other instance can still hold the lease. */
export function isFree(seen: Observation, ownName: string, now: task.Instant): boolean {
  if (seen.record === undefined) return true;
  if (seen.record.holder === ownName) return true;
  return now.monotonicMs - seen.sinceMs >= TERM_MS;
}

/** Applies the result of a read; a version seen before keeps the time when it was first seen. */
export function observe(
  before: Observation | undefined,
  found: messages.StoredObject | undefined,
  now: task.Instant,
): Observation {
  const version = found?.version ?? 0;
  if (before?.version === version) return before;
  const checked = storedLeaseSchema.safeParse(found?.value);
  const unreadable: StoredLease = { holder: '' };
  return {
    version,
    record: found && (checked.success ? checked.data : unreadable),
    sinceMs: now.monotonicMs,
  };
}

/** Returns the lease after its write has taken effect. */
export function completeWrite(write: PendingWrite, version: number): Lease {
  const untilMs = write.sentAtMs + TERM_MS - CLOCK_RATE_MARGIN_MS;
  return { kind: 'held', version, right: { kind: 'held', sinceMs: write.sinceMs, untilMs } };
}
