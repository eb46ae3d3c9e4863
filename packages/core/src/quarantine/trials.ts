/** Lets a quarantined part through once after a while, so that a sound part does not stay shut out. */
import type * as task from '../kernel/task.js';
import type * as command from './command.js';
import type * as ledgers from './ledger.js';
import * as names from './names.js';
import * as storing from './storing.js';
import type * as types from './types.js';

/** Ages of a verdict at which its trials are due; there are no later ones. */
const TRIALS_DUE_MS: readonly number[] = [60_000, 600_000];
/** A claim without an answer is given up after this time. */
const CLAIM_TIMEOUT_MS = 10_000;

function isDue({ trials, condemnedAtMs }: types.Verdict, now: task.Instant): boolean {
  return now.wallMs - condemnedAtMs >= (TRIALS_DUE_MS[trials] ?? Infinity);
}

/** Claims the due trials of a refused request's parts, if it could be let through with them. */
export function claim(
  ledger: ledgers.Ledger,
  condemned: readonly ledgers.Quarantined[],
  now: task.Instant,
): readonly command.Command[] {
  const open = condemned.filter(({ trial }) => trial.kind !== 'granted');
  if (!open.every(({ verdict }) => isDue(verdict, now))) return [];
  return open.flatMap((each): readonly command.Command[] => {
    const { trial, verdict } = each;
    const { model, part } = verdict;
    const stored = ledger.stored.get(names.objectName(model, part));
    const isClaiming =
      trial.kind === 'claiming' && now.monotonicMs - trial.sinceMs < CLAIM_TIMEOUT_MS;
    if (!stored || isClaiming) return [];
    const trials = verdict.trials + 1;
    Object.assign(each, { trial: { kind: 'claiming', sinceMs: now.monotonicMs, trials } });
    return [
      {
        kind: 'store-verdict',
        verdict: { ...verdict, trials },
        expectedVersion: stored.version,
        isTrial: true,
      },
    ];
  });
}

/** The answer to a claim. Of several instances that claim a trial, one gets it. */
export function onClaimAnswered(
  ledger: ledgers.Ledger,
  name: string,
  version: number | undefined,
): void {
  const known = ledger.verdicts.get(storing.keyOf(ledger, name) ?? '');
  if (!known || known.trial.kind !== 'claiming') return;
  // A refused or lost claim ends with its timeout, so that not each request makes a call.
  if (version === undefined) return;
  const { verdict, trial } = known;
  const trials = Math.max(verdict.trials, trial.trials);
  Object.assign(known, { trial: { kind: 'granted' }, verdict: { ...verdict, trials } });
}

/** The request did not run: the next one may try the parts. */
export function restore(
  { verdicts }: ledgers.Ledger,
  model: string,
  parts: readonly string[],
): void {
  parts.forEach((part) => {
    const known = verdicts.get(names.partKey(model, part));
    if (known) Object.assign(known, { trial: { kind: 'granted' } });
  });
}

/** The request was placed: the trial is spent. */
export function spend({ verdicts }: ledgers.Ledger, model: string, parts: readonly string[]): void {
  parts.forEach((part) => {
    const known = verdicts.get(names.partKey(model, part));
    if (known) Object.assign(known, { trial: { kind: 'none' } });
  });
}
