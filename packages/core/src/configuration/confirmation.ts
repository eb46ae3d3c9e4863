/**
 * Whether the configuration in force was confirmed lately. An instance that could not confirm it for
 * a few seconds has to assume that a data centre was taken out meanwhile.
 */
import * as crypto from 'node:crypto';

import type * as task from '../kernel/task.js';
import type * as state from './state.js';

type State = state.State;
type Step = task.Step<State, state.Command>;

/** Without a confirmation for this long, no new work is sent to other data centres. */
export const MAX_CONFIRMATION_AGE_MS = 3_000;
/** How often confidence is judged. */
export const TICK_MS = 500;

const FIRST_READ_DELAY_MS = 1_000;
const LONGEST_READ_DELAY_MS = 8_000;
const JITTER_STEPS = 1_000;

/** The platform itself confirmed the current generation just now. */
export function confirmNow(given: State, now: task.Instant): Step {
  return confirmAt(given, now.monotonicMs, now);
}

/** The platform confirmed the current generation at this time, at a peer perhaps. */
export function confirmAt(given: State, atMs: number, now: task.Instant): Step {
  if (!given.current || given.pendingHead) return { state: given, commands: [] };
  if (atMs <= (given.confirmedAtMs ?? -Infinity)) return { state: given, commands: [] };
  const confirmed = { ...given, confirmedAtMs: atMs, reads: 0 };
  const judged = updateStatus(confirmed, now);
  const { generation } = given.current;
  return {
    state: judged.state,
    commands: [...judged.commands, { kind: 'report', generation, confirmedAtMs: atMs }],
  };
}

/** Tells the routing task when confidence is lost or won. */
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

/** Grows with each read in vain; spread over instances by a hash, so that they do not read at once. */
export function readDelayMs(ownName: string, reads: number): number {
  const base = Math.min(LONGEST_READ_DELAY_MS, FIRST_READ_DELAY_MS * 2 ** (reads - 1));
  const digest = crypto.createHash('sha256').update(`${ownName}/${reads}`).digest();
  const jitter = (digest.readUInt32BE(0) % JITTER_STEPS) / JITTER_STEPS;
  return base * (1 + jitter);
}
