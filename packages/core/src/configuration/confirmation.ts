/**
 * Tracks whether the current configuration was confirmed recently. An instance that could not
 * confirm it for a few seconds has to assume that a data centre was taken out of service in the
 * meantime.
 */
import * as crypto from 'node:crypto';

import type * as task from '../kernel/task.js';
import type * as state from './state.js';

type State = state.State;
type Step = task.Step<State, state.Command>;

/** Without a confirmation for this long, no new work is sent to other data centres. */
export const MAX_CONFIRMATION_AGE_MS = 3_000;
/** Interval between two evaluations of the confirmation status. */
export const TICK_MS = 500;

const FIRST_READ_DELAY_MS = 1_000;
const MAX_READ_DELAY_MS = 8_000;
const JITTER_STEPS = 1_000;

/** Records that the platform confirmed the current generation to this instance just now. */
export function confirmNow(given: State, now: task.Instant): Step {
  return confirmAt(given, now.monotonicMs, now);
}

/**
 * Records that the platform confirmed the current generation at `atMs` of the monotonic clock, to
 * this instance or to a peer. Ignored while a newer head is pending.
 */
export function confirmAt(given: State, atMs: number, now: task.Instant): Step {
  if (!given.current || given.pendingHead) return { state: given, commands: [] };
  if (atMs <= (given.confirmedAtMs ?? -Infinity)) return { state: given, commands: [] };
  const confirmed = { ...given, confirmedAtMs: atMs, reads: 0 };
  const updated = updateStatus(confirmed, now);
  const { generation } = given.current;
  return {
    state: updated.state,
    commands: [...updated.commands, { kind: 'report', generation, confirmedAtMs: atMs }],
  };
}

/** Publishes the confirmation status when it changes. */
export function updateStatus(given: State, now: task.Instant): Step {
  const ageMs = now.monotonicMs - (given.confirmedAtMs ?? -Infinity);
  const found: state.ConfirmationStatus =
    ageMs <= MAX_CONFIRMATION_AGE_MS ? 'confirmed' : 'unconfirmed';
  if (found === given.confirmationStatus) return { state: given, commands: [] };
  return {
    state: { ...given, confirmationStatus: found },
    commands: [{ kind: 'publish-confirmation-status', confirmationStatus: found }],
  };
}

/**
 * Delay before the next read: doubles with each unsuccessful read up to a limit, plus a jitter that
 * is a hash of the name, so that instances do not read at the same time.
 */
export function readDelayMs(ownName: string, reads: number): number {
  const base = Math.min(MAX_READ_DELAY_MS, FIRST_READ_DELAY_MS * 2 ** (reads - 1));
  const digest = crypto.createHash('sha256').update(`${ownName}/${reads}`).digest();
  const jitter = (digest.readUInt32BE(0) % JITTER_STEPS) / JITTER_STEPS;
  return base * (1 + jitter);
}
