/**
 * Keeps the counted crashes that this instance found in the platform's store, one object an instance, where
 * they outlive a kill of all instances. Others read them only as they start: while they run, peers tell them.
 */
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';
import type * as command from './command.js';
import type * as ledgers from './ledger.js';
import * as names from './names.js';
import * as tally from './tally.js';
import type * as types from './types.js';
import * as verdicts from './verdicts.js';

/** The newest are kept. */
const MAX_RECORDED = 32;
/** Crashes that follow each other closely are written together. */
const WRITE_INTERVAL_MS = 250;
/** Parts that were cleared are of use to nobody; their removal can wait for more. */
const REMOVAL_DELAY_MS = 5_000;
const RETRY_DELAY_MS = 1_000;

/** Adds the suspects that were counted, to be written at once. */
export function add(
  ledger: ledgers.Ledger,
  suspects: readonly types.Suspect[],
  now: task.Instant,
): void {
  const { record } = ledger;
  const found = suspects
    .map(({ ageMs, ...suspect }) => ({ ...suspect, crashedAtMs: now.wallMs - ageMs }))
    .flatMap((crash) => onlyCounted(ledger, crash));
  if (found.length === 0) return;
  Object.assign(record, { crashes: [...record.crashes, ...found].slice(-MAX_RECORDED) });
  makeDue(record, now.monotonicMs);
}

function onlyCounted(
  { tallies }: ledgers.Ledger,
  crash: types.RecordedCrash,
): readonly types.RecordedCrash[] {
  const parts = crash.parts.filter((part) =>
    tallies
      .get(names.partKey(crash.model, part))
      ?.crashes.some((each) => each.requestId === crash.requestId && each.crash === crash.crash),
  );
  return parts.length === 0 ? [] : [{ ...crash, parts }];
}

function makeDue(record: ledgers.Recording, atMs: number): void {
  const dueAtMs = Math.max(Math.min(record.dueAtMs, atMs), record.writtenAtMs + WRITE_INTERVAL_MS);
  Object.assign(record, { dueAtMs });
}

/** Drops what has been cleared or has expired. */
export function refresh(ledger: ledgers.Ledger, now: task.Instant): void {
  const { record } = ledger;
  const crashes = record.crashes.flatMap((crash) => onlyCounted(ledger, crash));
  const countParts = (all: readonly types.RecordedCrash[]) =>
    all.reduce((sum, { parts }) => sum + parts.length, 0);
  if (countParts(crashes) === countParts(record.crashes)) return;
  Object.assign(record, { crashes });
  makeDue(record, now.monotonicMs + REMOVAL_DELAY_MS);
}

export function takeDue({ record }: ledgers.Ledger, now: task.Instant): readonly command.Command[] {
  if (record.isWriting || record.dueAtMs > now.monotonicMs) return [];
  Object.assign(record, { isWriting: true, dueAtMs: Infinity, writtenAtMs: now.monotonicMs });
  const { crashes, version } = record;
  return [{ kind: 'store-crashes', crashes, expectedVersion: version }];
}

export function onWritten(
  { record }: ledgers.Ledger,
  outcome: types.WriteOutcome,
  now: task.Instant,
): void {
  Object.assign(record, { isWriting: false });
  switch (outcome.kind) {
    case 'written':
      Object.assign(record, { version: outcome.version });
      return;
    case 'conflict':
      Object.assign(record, { version: outcome.version });
      makeDue(record, now.monotonicMs);
      return;
    case 'lost':
      makeDue(record, now.monotonicMs + RETRY_DELAY_MS);
      return;
    default:
      results.assertNever(outcome);
  }
}

/** Counts what instances recorded before this one started. */
export function restore(
  ledger: ledgers.Ledger,
  records: readonly types.CrashRecord[],
  now: task.Instant,
): readonly command.Command[] {
  const counted = records.flatMap(({ crashes }) =>
    crashes.flatMap((crash) => count(ledger, crash, now)),
  );
  const own = records.find(({ instance }) => instance === ledger.instance);
  if (own) {
    const crashes = own.crashes.flatMap((crash) => onlyCounted(ledger, crash));
    Object.assign(ledger.record, { crashes, version: own.version });
  }
  return counted.flatMap((each) => verdicts.judge(ledger, each, 'later', now));
}

function count(
  ledger: ledgers.Ledger,
  { crashedAtMs, ...crash }: types.RecordedCrash,
  now: task.Instant,
): readonly ledgers.Tally[] {
  const ageMs = Math.max(0, now.wallMs - crashedAtMs);
  if (ageMs > tally.TALLY_RETENTION_MS) return [];
  return crash.parts.flatMap((part) => {
    const known = ledger.tallies.get(names.partKey(crash.model, part))?.crashes ?? [];
    // The clocks of the instances that found one crash may differ by more than two crashes do.
    if (known.some((each) => each.crash === crash.crash)) return [];
    return tally.count(ledger, { ...crash, ageMs }, part, now.monotonicMs - ageMs, now) ?? [];
  });
}
