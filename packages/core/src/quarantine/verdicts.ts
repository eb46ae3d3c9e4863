/** Verdicts on parts: whom they bind, how those of several instances are merged, and how they end. */
import type * as task from '../kernel/task.js';
import * as clearing from './clearing.js';
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

/** Whether a request with these parts holds all that the verdict is about. */
export function concerns({ part, companions }: types.Verdict, parts: readonly string[]): boolean {
  return parts.includes(part) && companions.every((each) => parts.includes(each));
}

/** Extends the verdict on the part to a new crash, or condemns what its unexplained crashes have in common. */
export function judge(
  ledger: ledgers.Ledger,
  tally: ledgers.Tally,
  turn: storing.Turn,
  now: task.Instant,
): readonly command.Command[] {
  return [...extend(ledger, tally, turn, now), ...condemn(ledger, tally, turn, now)];
}

function extend(
  ledger: ledgers.Ledger,
  { model, part, crashes }: ledgers.Tally,
  turn: storing.Turn,
  now: task.Instant,
): readonly command.Command[] {
  const known = ledger.verdicts.get(names.partKey(model, part))?.verdict;
  const explained = known ? crashes.filter(({ parts }) => concerns(known, parts)) : [];
  if (!known || explained.length === 0) return [];
  return adopt(ledger, verdictOf(model, part, known.companions, explained, now), turn, now);
}

/**
 * Any of the parts that were in all crashes may be the cause, so each is condemned beside the others: a
 * sound one that came with a deadly one still gets through without it, and is then known to be sound.
 */
function condemn(
  ledger: ledgers.Ledger,
  { model, crashes }: ledgers.Tally,
  turn: storing.Turn,
  now: task.Instant,
): readonly command.Command[] {
  const condemned = [...ledger.verdicts.values()].filter(({ verdict }) => verdict.model === model);
  const unexplained = crashes.filter(
    ({ parts }) => !condemned.some(({ verdict }) => concerns(verdict, parts)),
  );
  if (unexplained.length < CRASHES_FOR_VERDICT) return [];
  const [first, ...others] = unexplained.map(({ parts }) => parts);
  const common = (first ?? []).filter((part) => others.every((parts) => parts.includes(part)));
  return common.flatMap((part) => {
    const companions = common.filter((each) => each !== part);
    return adopt(ledger, verdictOf(model, part, companions, unexplained, now), turn, now);
  });
}

function verdictOf(
  model: string,
  part: string,
  companions: readonly string[],
  crashes: readonly ledgers.CountedCrash[],
  now: task.Instant,
): types.Verdict {
  return {
    model,
    part,
    companions,
    clientAccounts: distinct(crashes.map(({ clientAccount }) => clientAccount)),
    crashes: crashes.map(({ upstream, requestId }) => ({ upstream, requestId })),
    condemnedAtMs: now.wallMs,
    trials: 0,
  };
}

/** Merges a verdict with the known one. Nothing happens if it says nothing new. */
export function adopt(
  ledger: ledgers.Ledger,
  given: types.Verdict,
  turn: storing.Turn,
  now: task.Instant,
): readonly command.Command[] {
  const { model, part } = given;
  const key = names.partKey(model, part);
  if (clearing.isCleared(ledger, key, now)) return [];
  const companions = given.companions.filter(
    (each) => !clearing.isCleared(ledger, names.partKey(model, each), now),
  );
  const known = ledger.verdicts.get(key);
  const found = { ...given, companions };
  const verdict = known ? merge(known.verdict, found) : found;
  const isKnown =
    known !== undefined &&
    verdict.clientAccounts.length === known.verdict.clientAccounts.length &&
    verdict.companions.length === known.verdict.companions.length;
  ledger.verdicts.set(key, { trial: { kind: 'none' }, ...known, verdict });
  if (isKnown) return [];
  ledger.news.verdicts.set(key, now.monotonicMs);
  storing.plan(ledger, verdict, turn, now);
  return [
    { kind: 'record-verdict', verdict, quarantinedParts: ledger.verdicts.size },
    ...withdrawals(ledger, verdict),
  ];
}

/** Parts that got through are no companions any more; what is left is the cause. */
export function withoutCleared(
  ledger: ledgers.Ledger,
  turn: storing.Turn,
  now: task.Instant,
): readonly command.Command[] {
  return [...ledger.verdicts.values()]
    .filter(({ verdict }) => verdict.companions.length > 0)
    .flatMap(({ verdict }) => adopt(ledger, verdict, turn, now));
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
    companions: known.companions.filter((each) => given.companions.includes(each)),
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
        concerns(verdict, each.parts) &&
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
export function describe({ model, part, companions, crashes }: types.Verdict): string {
  const upstreams = distinct(crashes.map(({ upstream }) => upstream)).join(', ');
  const beside = companions.length === 0 ? '' : ` beside ${companions.join(', ')}`;
  return `${names.describe(model, part)}${beside} is in quarantine after crashes of ${upstreams}`;
}

function distinct(values: readonly string[]): readonly string[] {
  return [...new Set(values)];
}
