/** Parts that a request got through with; they crash no upstream. */
import type * as task from '../kernel/task.js';
import * as ledgers from './ledger.js';
import * as names from './names.js';
import type * as types from './types.js';

const CLEARED_FOR_MS = 60_000;
const MAX_CLEARED = 8_192;

export function isCleared(ledger: ledgers.Ledger, key: string, now: task.Instant): boolean {
  const atMs = ledger.clearedAtMs.get(key);
  return atMs !== undefined && now.monotonicMs - atMs < CLEARED_FOR_MS;
}

/** Returns whether the part had been counted with a crash. */
export function clear(
  ledger: ledgers.Ledger,
  { model, part }: types.PartOfModel,
  now: task.Instant,
): boolean {
  const key = names.partKey(model, part);
  ledgers.setBounded(ledger.clearedAtMs, key, now.monotonicMs, MAX_CLEARED);
  return ledger.tallies.delete(key);
}
