/** Usage by client account as instances tell it to each other, in a bounded number of bytes. */
import type * as peerWork from '../fleet/peer-work.js';
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';
import * as decayed from './decayed.js';
import * as ledgers from './ledger.js';
import type * as types from './types.js';

/** Time between two updates; usage has a half-life of several times as long. */
export const INTERVAL_MS = 1_000;
/** Accounts that one update lists, for all services together, so that it fits into one packet. */
const MAX_ROWS = 32;
/** Directly between all instances, an update goes to as many as 16. */
const MAX_ROWS_TO_ALL = 8;
/** A reader sends its updates to all other readers, and to as many as 30 followers. */
const MAX_ROWS_OF_READER = 16;
/** Services in one update, each with a sum of what is not listed. */
const MAX_SERVICES = 8;

function maxRows(sharing: peerWork.Sharing): number {
  switch (sharing) {
    case 'with-all':
      return MAX_ROWS_TO_ALL;
    case 'through-reader':
      return MAX_ROWS;
    case 'as-reader':
      return MAX_ROWS_OF_READER;
    default:
      return results.assertNever(sharing);
  }
}

type Sums = Map<types.AccountKey, decayed.Amounts>;

function isHeard(scope: peerWork.Scope, summedUp: readonly peerWork.Scope[]): boolean {
  return summedUp.includes(scope);
}

/** Usage of one service at this instance and the peers of these scopes. */
function sumUp(
  ledger: types.Ledger,
  service: string,
  summedUp: readonly peerWork.Scope[],
  nowMs: number,
): { sums: Sums; rest: types.ServiceUsage['rest'] } {
  const sums: Sums = ledgers.ownAt(ledger, service, nowMs);
  const rest = { used: 0, refused: 0, accounts: 0 };
  ledger.reports.forEach(({ scope, services, receivedAtMs }) => {
    const usage = services.get(service);
    if (!usage || !isHeard(scope, summedUp)) return;
    const factor = decayed.decayFactor(nowMs - receivedAtMs);
    usage.accounts.forEach(({ account, amounts }) => {
      const { used, refused } = sums.get(account) ?? decayed.NOTHING;
      sums.set(account, {
        used: used + amounts.used * factor,
        refused: refused + amounts.refused * factor,
      });
    });
    rest.used += usage.rest.used * factor;
    rest.refused += usage.rest.refused * factor;
    // The same accounts may be behind the sums of several peers.
    rest.accounts = Math.max(rest.accounts, usage.rest.accounts);
  });
  return { sums, rest };
}

function largest(
  { sums, rest }: ReturnType<typeof sumUp>,
  service: string,
  rows: number,
): types.ServiceUsage {
  const ranked = [...sums]
    .map(([account, amounts]) => ({ account, amounts }))
    .filter(({ amounts }) => amounts.used + amounts.refused >= 1)
    .sort((a, b) => b.amounts.used + b.amounts.refused - a.amounts.used - a.amounts.refused);
  const others = ranked.slice(rows);
  return {
    service,
    accounts: ranked.slice(0, rows),
    rest: {
      used: rest.used + others.reduce((sum, { amounts }) => sum + amounts.used, 0),
      refused: rest.refused + others.reduce((sum, { amounts }) => sum + amounts.refused, 0),
      accounts: rest.accounts + others.length,
    },
  };
}

function namesOf({ own, reports }: types.Ledger): readonly string[] {
  const names = [
    ...own.keys(),
    ...[...reports.values()].flatMap((each) => [...each.services.keys()]),
  ];
  return [...new Set(names)].sort().slice(0, MAX_SERVICES);
}

export type Sender = { instance: string; incarnation: string; sharing: peerWork.Sharing };

function updateOf(
  ledger: types.Ledger,
  { instance, incarnation, sharing }: Sender,
  scope: peerWork.Scope,
  summedUp: readonly peerWork.Scope[],
  now: task.Instant,
): readonly types.Update[] {
  const named = namesOf(ledger);
  const rows = Math.max(1, Math.floor(maxRows(sharing) / Math.max(1, named.length)));
  const told = named
    .map((service) => largest(sumUp(ledger, service, summedUp, now.monotonicMs), service, rows))
    .filter(({ accounts, rest }) => accounts.length + rest.accounts > 0);
  if (told.length === 0) return [];
  return [{ from: instance, scope, incarnation, sentAtMs: now.monotonicMs, services: told }];
}

/** The updates that are due, if any. */
export function take(
  ledger: types.Ledger,
  sender: Sender,
  now: task.Instant,
): readonly types.Update[] {
  if (now.monotonicMs - ledger.sentAtMs < INTERVAL_MS) return [];
  Object.assign(ledger, { sentAtMs: now.monotonicMs });
  switch (sender.sharing) {
    case 'with-all':
    case 'through-reader':
      return updateOf(ledger, sender, 'own', [], now);
    case 'as-reader':
      return [
        ...updateOf(ledger, sender, 'group', ['own'], now),
        ...updateOf(ledger, sender, 'fleet', ['own', 'group'], now),
      ];
    default:
      return results.assertNever(sender.sharing);
  }
}

/** Applies a peer's update; an older one of the same run of its process is ignored. */
export function receive(ledger: types.Ledger, update: types.Update, now: task.Instant): void {
  const { from, scope, incarnation, sentAtMs } = update;
  const before = ledger.reports.get(from);
  if (before?.incarnation === incarnation && before.sentAtMs >= sentAtMs) return;
  const told = new Map(update.services.map((usage) => [usage.service, usage]));
  const receivedAtMs = now.monotonicMs;
  ledger.reports.set(from, { scope, incarnation, sentAtMs, receivedAtMs, services: told });
}

/** Forgets reports of scopes that do not count any more after a change of readers. */
export function keepScopes(ledger: types.Ledger, heard: readonly peerWork.Scope[]): void {
  ledger.reports.forEach(({ scope }, from) => {
    if (!isHeard(scope, heard)) ledger.reports.delete(from);
  });
}
