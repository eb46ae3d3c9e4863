/**
 * Writes verdicts to the platform's store, where they outlive the instances. A verdict that names no
 * client account stands for a lifted one: instances that start later must not take up the old one.
 */
import type * as task from '../kernel/task.js';
import * as rendezvous from '../membership/rendezvous.js';
import type * as command from './command.js';
import type * as ledgers from './ledger.js';
import * as names from './names.js';
import type * as types from './types.js';

/** The store's watch mostly shows the first write before that. */
const OTHERS_DELAY_MS = 1_500;
const OTHERS_SPREAD_MS = 3_000;

/**
 * `at-once`: this instance found what is to be stored. `later`: another one did, and may have failed.
 * `shown`: the store holds it.
 */
export type Turn = 'at-once' | 'later' | 'shown';

export function plan(
  ledger: ledgers.Ledger,
  verdict: types.Verdict,
  turn: Turn,
  now: task.Instant,
): void {
  if (turn === 'shown') return;
  const key = names.partKey(verdict.model, verdict.part);
  const delayMs = turn === 'at-once' ? 0 : retryDelayMs(ledger, key);
  ledger.writes.set(key, { verdict, dueAtMs: now.monotonicMs + delayMs, isSent: false });
}

function retryDelayMs({ instance }: ledgers.Ledger, key: string): number {
  return OTHERS_DELAY_MS + rendezvous.hashFraction(key, instance) * OTHERS_SPREAD_MS;
}

export function onLift(
  ledger: ledgers.Ledger,
  verdict: types.Verdict,
  reason: command.LiftReason,
  now: task.Instant,
): void {
  const key = names.partKey(verdict.model, verdict.part);
  const name = names.objectName(verdict.model, verdict.part);
  ledger.writes.delete(key);
  if (!ledger.stored.has(name) || reason === 'removed from the store') return;
  plan(ledger, lifted(verdict, now), reason === 'success' ? 'at-once' : 'later', now);
}

export function lifted(verdict: types.Verdict, now: task.Instant): types.Verdict {
  const nothing = { companions: [], clientAccounts: [], crashes: [] };
  return { ...verdict, ...nothing, condemnedAtMs: now.wallMs };
}

export function isLifted({ clientAccounts }: types.Verdict): boolean {
  return clientAccounts.length === 0;
}

/** Whether a verdict on the part waits to be written. */
export function isWriteDue({ writes }: ledgers.Ledger, key: string): boolean {
  const wanted = writes.get(key)?.verdict;
  return wanted !== undefined && !isLifted(wanted);
}

/** The writes that are due; each is sent again until the store shows it. */
export function takeDue(ledger: ledgers.Ledger, now: task.Instant): readonly command.Command[] {
  return [...ledger.writes]
    .filter(([, { dueAtMs }]) => dueAtMs <= now.monotonicMs)
    .map(([key, write]) => {
      const { verdict } = write;
      const dueAtMs = now.monotonicMs + retryDelayMs(ledger, key);
      ledger.writes.set(key, { verdict, dueAtMs, isSent: true });
      const expectedVersion =
        ledger.stored.get(names.objectName(verdict.model, verdict.part))?.version ?? 0;
      return { kind: 'store-verdict', verdict, expectedVersion, isTrial: false };
    });
}

/** Notes the version, and drops a write that the stored verdict makes needless. */
export function onStored(
  ledger: ledgers.Ledger,
  { verdict, name, version }: types.StoredVerdict,
): void {
  const key = names.partKey(verdict.model, verdict.part);
  ledger.stored.set(name, { version, key, isShown: true });
  const wanted = ledger.writes.get(key)?.verdict;
  if (wanted && covers(verdict, wanted)) ledger.writes.delete(key);
}

/** The answer to a write of this instance; a refused or lost one is sent again. */
export function onWritten(
  ledger: ledgers.Ledger,
  name: string,
  version: number | undefined,
  isTrial: boolean,
): void {
  const key = keyOf(ledger, name);
  if (version === undefined || key === undefined) return;
  const isShown = ledger.stored.get(name)?.isShown ?? false;
  ledger.stored.set(name, { version, key, isShown });
  if (!isTrial && ledger.writes.get(key)?.isSent) ledger.writes.delete(key);
}

export function keyOf(
  { stored, verdicts, writes }: ledgers.Ledger,
  name: string,
): string | undefined {
  const known = [...verdicts.values(), ...writes.values()].find(
    ({ verdict }) => names.objectName(verdict.model, verdict.part) === name,
  );
  return stored.get(name)?.key ?? (known && names.partKey(known.verdict.model, known.verdict.part));
}

function covers(stored: types.Verdict, wanted: types.Verdict): boolean {
  if (isLifted(wanted)) return isLifted(stored);
  return (
    wanted.clientAccounts.every((each) => stored.clientAccounts.includes(each)) &&
    stored.companions.every((each) => wanted.companions.includes(each))
  );
}
