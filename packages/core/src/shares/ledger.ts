/** The ledger of work by client account: what this instance started and refused, and what peers told. */
import type * as task from '../kernel/task.js';
import * as rendezvous from '../membership/rendezvous.js';
import * as decayed from './decayed.js';
import * as fairShare from './fair-share.js';
import type * as types from './types.js';

/** Client accounts with a sum of their own at this instance, for each service; the smallest is forgotten. */
export const MAX_ACCOUNTS = 256;
/** Attempts in flight whose charge can be corrected; an instance holds fewer. */
const MAX_CHARGES = 16_384;
/** Shares are computed anew this often; peers' updates are several times as old, and it costs up to 100 µs. */
const VIEW_AGE_MS = 200;
/**
 * Work of one generated token, in prompt tokens. It takes a small part of a step, but occupies memory of the
 * engine for all of it.
 */
export const GENERATED_TOKEN_WORK = 2;
const HASH_RANGE = 2 ** 32;
const HASH_RADIX = 36;

export function create(): types.Ledger {
  return {
    own: new Map(),
    charges: new Map(),
    reports: new Map(),
    views: new Map(),
    ranks: new Map(),
    paces: new Map(),
    names: new Map(),
    sentAtMs: -Infinity,
  };
}

/** Two accounts with the same key share a sum, which can only make them wait for each other. */
export function keyOf(clientAccount: string): types.AccountKey {
  const hash = rendezvous.hashFraction('client-account', clientAccount) * HASH_RANGE;
  return Math.floor(hash).toString(HASH_RADIX);
}

function add(
  ledger: types.Ledger,
  service: string,
  account: types.AccountKey,
  more: decayed.Amounts,
  nowMs: number,
): void {
  const accounts = ledger.own.get(service) ?? new Map<types.AccountKey, decayed.Sum>();
  ledger.own.set(service, accounts);
  const sum = decayed.added(accounts.get(account), more, nowMs);
  accounts.set(account, sum);
  if (accounts.size > MAX_ACCOUNTS) accounts.delete(smallest(accounts, nowMs));
}

function smallest(accounts: ReadonlyMap<types.AccountKey, decayed.Sum>, nowMs: number): string {
  const sizes = [...accounts].map(([account, sum]) => {
    const { used, refused } = decayed.amountsAt(sum, nowMs);
    return { account, size: used + refused };
  });
  return sizes.reduce((least, each) => (each.size < least.size ? each : least)).account;
}

/** Records work that is started. `requestId` names the attempt for `settle`. */
export function charge(
  ledger: types.Ledger,
  requestId: string,
  { service, account, work }: Omit<types.Charge, 'atMs'>,
  now: task.Instant,
): void {
  const atMs = now.monotonicMs;
  add(ledger, service, account, { used: work, refused: 0 }, atMs);
  ledger.charges.set(requestId, { service, account, work, atMs });
  if (ledger.charges.size <= MAX_CHARGES) return;
  const [oldest] = ledger.charges.keys();
  if (oldest !== undefined) ledger.charges.delete(oldest);
}

/** Adds a generated token to the work of an attempt. */
export function recordToken(ledger: types.Ledger, requestId: string, now: task.Instant): void {
  const known = ledger.charges.get(requestId);
  if (!known) return;
  const { service, account } = known;
  add(ledger, service, account, { used: GENERATED_TOKEN_WORK, refused: 0 }, now.monotonicMs);
}

/** Ends an attempt. `work`: its true amount; undefined if the estimate stands. */
export function settle(
  ledger: types.Ledger,
  requestId: string,
  work: number | undefined,
  now: task.Instant,
): void {
  const known = ledger.charges.get(requestId);
  if (!known) return;
  ledger.charges.delete(requestId);
  if (work === undefined) return;
  const { service, account, work: charged, atMs } = known;
  const factor = decayed.decayFactor(now.monotonicMs - atMs);
  const correction = { used: (work - charged) * factor, refused: 0 };
  add(ledger, service, account, correction, now.monotonicMs);
}

export function recordRefused(
  ledger: types.Ledger,
  service: string,
  account: types.AccountKey,
  work: number,
  now: task.Instant,
): void {
  add(ledger, service, account, { used: 0, refused: work }, now.monotonicMs);
}

/** Usage of one service by all instances, as far as it is known. */
export function viewOf(ledger: types.Ledger, service: string, now: task.Instant): types.View {
  const known = ledger.views.get(service);
  const ageMs = now.monotonicMs - (known?.atMs ?? -Infinity);
  if (known && ageMs >= 0 && ageMs < VIEW_AGE_MS) return known;
  const computed = compute(ledger, service, now.monotonicMs);
  ledger.views.set(service, computed);
  return computed;
}

function compute(ledger: types.Ledger, service: string, nowMs: number): types.View {
  const others = new Map<types.AccountKey, decayed.Amounts>();
  const rests: decayed.Amounts[] = [];
  const own = ownAt(ledger, service, nowMs);
  ledger.reports.forEach(({ services, receivedAtMs, scope }) => {
    const usage = services.get(service);
    if (!usage) return;
    const factor = decayed.decayFactor(nowMs - receivedAtMs);
    usage.accounts.forEach(({ account, amounts }) => {
      // A sum over all instances includes this one's own, which is known exactly.
      const included = scope === 'fleet' ? own.get(account) : undefined;
      const told = difference(scaled(amounts, factor), included);
      others.set(account, sumOf(others.get(account), told));
    });
    rests.push(...spread(usage.rest, factor));
  });
  const accounts = [...new Set([...own.keys(), ...others.keys()])].map((account) =>
    sumOf(own.get(account), others.get(account) ?? decayed.NOTHING),
  );
  const all = [...accounts, ...rests];
  const used = all.reduce((sum, each) => sum + each.used, 0);
  const refused = all.reduce((sum, each) => sum + each.refused, 0);
  const demand = used + refused;
  const ownDemand = [...own.values()].reduce((sum, each) => sum + each.used + each.refused, 0);
  const refusedShare = demand > 0 ? refused / demand : 0;
  return { atMs: nowMs, level: fairShare.levelOf(all), others, refusedShare, demand, ownDemand };
}

/** The accounts behind a sum, as if each had the same part of it. */
function spread(
  { accounts, used, refused }: types.ServiceUsage['rest'],
  factor: number,
): readonly decayed.Amounts[] {
  if (accounts === 0) return [];
  const each = scaled({ used, refused }, factor / accounts);
  return Array.from({ length: Math.min(accounts, MAX_ACCOUNTS) }, () => each);
}

function scaled({ used, refused }: decayed.Amounts, factor: number): decayed.Amounts {
  return { used: used * factor, refused: refused * factor };
}

function sumOf(a: decayed.Amounts | undefined, b: decayed.Amounts): decayed.Amounts {
  return a ? { used: a.used + b.used, refused: a.refused + b.refused } : b;
}

function difference(from: decayed.Amounts, part: decayed.Amounts | undefined): decayed.Amounts {
  if (!part) return from;
  return {
    used: Math.max(0, from.used - part.used),
    refused: Math.max(0, from.refused - part.refused),
  };
}

/** What this instance knows of its own requests, at this time. */
export function ownAt(
  { own }: types.Ledger,
  service: string,
  nowMs: number,
): Map<types.AccountKey, decayed.Amounts> {
  const accounts = own.get(service) ?? [];
  return new Map([...accounts].map(([account, sum]) => [account, decayed.amountsAt(sum, nowMs)]));
}

/** Overuse of an account in the whole fleet; what it did here a moment ago counts. */
export function overuseOf(
  ledger: types.Ledger,
  service: string,
  account: types.AccountKey,
  now: task.Instant,
): number {
  const { level, others } = viewOf(ledger, service, now);
  const sum = ledger.own.get(service)?.get(account);
  const own = sum ? decayed.amountsAt(sum, now.monotonicMs).used : 0;
  return fairShare.overuseOf(own + (others.get(account)?.used ?? 0), level);
}

/** Forgets what has decayed, and reports of peers that have been silent for as long. */
export function expire(ledger: types.Ledger, now: task.Instant): void {
  const isOld = (atMs: number) => now.monotonicMs - atMs >= decayed.FORGET_AFTER_MS;
  ledger.own.forEach((accounts, service) => {
    accounts.forEach(({ atMs }, account) => isOld(atMs) && accounts.delete(account));
    if (accounts.size === 0) ledger.own.delete(service);
  });
  ledger.reports.forEach(({ receivedAtMs }, from) => {
    if (isOld(receivedAtMs)) ledger.reports.delete(from);
  });
  ledger.ranks.forEach((seen, service) => {
    seen.forEach(({ seenAtMs }, rank) => isOld(seenAtMs) && seen.delete(rank));
    if (seen.size === 0) ledger.ranks.delete(service);
  });
  const kept = new Set([...ledger.own.values()].flatMap((accounts) => [...accounts.keys()]));
  ledger.names.forEach((_, account) => kept.has(account) || ledger.names.delete(account));
  ledger.views.clear();
}
