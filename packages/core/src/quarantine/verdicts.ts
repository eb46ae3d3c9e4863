/** Verdicts on parts: whom they bind, how those of several instances are merged, and how they end. */
import type * as task from '../kernel/task.js';
import type * as command from './command.js';
import type * as ledgers from './ledger.js';
import * as names from './names.js';
import * as storing from './storing.js';
import type * as types from './types.js';

/** Counted crashes of a verdict. */
const CRASHES_FOR_VERDICT = 3;
/** From so many client accounts on, a verdict binds all. */
const ACCOUNTS_FOR_ALL = 2;
/** Evidence that a verdict keeps. */
const MAX_EVIDENCE = 8;
/** For this long after a lift, verdicts of peers that have not heard of it are ignored. */
const LIFTED_FOR_MS = 60_000;

export function binds({ clientAccounts }: types.Verdict, clientAccount: string): boolean {
  return clientAccounts.length >= ACCOUNTS_FOR_ALL || clientAccounts.includes(clientAccount);
}

/** Condemns the part if its tally suffices, or extends the verdict to the client account of a new crash. */
export function judge(
  ledger: ledgers.Ledger,
  { model, part, crashes }: ledgers.Tally,
  turn: storing.Turn,
  now: task.Instant,
): readonly command.Command[] {
  const isKnown = ledger.verdicts.has(names.partKey(model, part));
  if (!isKnown && crashes.length < CRASHES_FOR_VERDICT) return [];
  const verdict: types.Verdict = {
    model,
    part,
    clientAccounts: distinct(crashes.map(({ clientAccount }) => clientAccount)),
    crashes: crashes.map(({ upstream, requestId }) => ({ upstream, requestId })),
    condemnedAtMs: now.wallMs,
    trials: 0,
  };
  return adopt(ledger, verdict, turn, now);
}

/** Merges a verdict with the known one. Nothing happens if it says nothing new. */
export function adopt(
  ledger: ledgers.Ledger,
  given: types.Verdict,
  turn: storing.Turn,
  now: task.Instant,
): readonly command.Command[] {
  const key = names.partKey(given.model, given.part);
  const known = ledger.verdicts.get(key);
  const verdict = known ? merge(known.verdict, given) : given;
  const hasNewAccounts =
    verdict.clientAccounts.length !== (known?.verdict.clientAccounts.length ?? 0);
  ledger.verdicts.set(key, { trial: { kind: 'none' }, ...known, verdict });
  if (!hasNewAccounts) return [];
  ledger.news.verdicts.set(key, now.monotonicMs);
  storing.plan(ledger, verdict, turn, now);
  return [
    { kind: 'record-verdict', verdict, quarantinedParts: ledger.verdicts.size },
    ...withdrawals(ledger, verdict),
  ];
}

export function mayAdoptFromPeer(ledger: ledgers.Ledger, key: string, now: task.Instant): boolean {
  return now.monotonicMs - (ledger.lifts.get(key) ?? -Infinity) >= LIFTED_FOR_MS;
}

function merge(known: types.Verdict, given: types.Verdict): types.Verdict {
  const added = given.crashes.filter(
    ({ requestId }) => !known.crashes.some((each) => each.requestId === requestId),
  );
  return {
    ...known,
    clientAccounts: distinct([...known.clientAccounts, ...given.clientAccounts]),
    crashes: [...known.crashes, ...added].slice(0, MAX_EVIDENCE),
    condemnedAtMs: Math.min(known.condemnedAtMs, given.condemnedAtMs),
    trials: Math.max(known.trials, given.trials),
  };
}

/** Attempts that have not begun would crash their upstreams yet. */
function withdrawals(
  { attempts }: ledgers.Ledger,
  verdict: types.Verdict,
): readonly command.Command[] {
  return [...attempts.values()]
    .filter(
      (each) =>
        !each.hasBegun &&
        !each.isTrial &&
        each.model === verdict.model &&
        each.parts.includes(verdict.part) &&
        binds(verdict, each.clientAccount),
    )
    .map(({ replyTo, upstream }) => ({
      kind: 'withdraw',
      replyTo,
      upstream,
      reason: describe(verdict),
    }));
}

export function lift(
  ledger: ledgers.Ledger,
  { model, part }: types.PartOfModel,
  reason: command.LiftReason,
  now: task.Instant,
): readonly command.Command[] {
  const key = names.partKey(model, part);
  const known = ledger.verdicts.get(key);
  if (!known) return [];
  ledger.verdicts.delete(key);
  ledger.tallies.delete(key);
  ledger.news.verdicts.delete(key);
  ledger.lifts.set(key, now.monotonicMs);
  storing.onLift(ledger, known.verdict, reason, now);
  const quarantinedParts = ledger.verdicts.size;
  return [{ kind: 'record-verdict-lifted', model, part, reason, quarantinedParts }];
}

/** Evidence for journals and for the refusal. */
export function describe({ model, part, crashes }: types.Verdict): string {
  const upstreams = distinct(crashes.map(({ upstream }) => upstream)).join(', ');
  return `part ${part} of ${model} is in quarantine after crashes of ${upstreams}`;
}

function distinct(values: readonly string[]): readonly string[] {
  return [...new Set(values)];
}
