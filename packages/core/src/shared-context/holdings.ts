/**
 * What the context stores hold, as their events tell. Events come late and some never, so this may
 * miss parts that exist; it never names a part that was not reported complete in the store's present
 * epoch. Updated in place: the task that owns it is the only one that sees it.
 */
import type * as task from '../kernel/task.js';

export type PartChange =
  | { kind: 'complete'; salt: string; id: string; tokens: number }
  | { kind: 'gone'; salt: string; id: string };

/** News of one store. */
export type StoreNews =
  | { kind: 'changes'; epoch: number; clockMs: number | undefined; changes: readonly PartChange[] }
  /** Everything that it holds; replaces what was known. */
  | { kind: 'listing'; epoch: number; clockMs: number | undefined; changes: readonly PartChange[] }
  | { kind: 'unreachable' };

export type Holding = {
  isReachable: boolean;
  epoch: number | undefined;
  /** Tokens by salt and id. */
  parts: Map<string, { salt: string; id: string; tokens: number }>;
  usedTokens: number;
  /** Saves that were asked for and not reported yet, by key, with the time of asking. */
  pending: Map<string, { tokens: number; atMs: number }>;
};

/** The upstreams' and stores' common clock, as one of them told it. */
export type RemoteClock = { remoteMs: number; at: task.Instant };

export type Holdings = { stores: Map<string, Holding>; clock: RemoteClock | undefined };

/** A save that was not reported within this time is taken as lost. */
export const SAVE_TIMEOUT_MS = 5_000;

export function create(): Holdings {
  return { stores: new Map(), clock: undefined };
}

export function partKey(salt: string, id: string): string {
  return `${salt} ${id}`;
}

export function holdingOf(holdings: Holdings, store: string): Holding {
  const found = holdings.stores.get(store);
  if (found) return found;
  const added: Holding = {
    isReachable: false,
    epoch: undefined,
    parts: new Map(),
    usedTokens: 0,
    pending: new Map(),
  };
  holdings.stores.set(store, added);
  return added;
}

export function take(holdings: Holdings, store: string, news: StoreNews, now: task.Instant): void {
  const holding = holdingOf(holdings, store);
  if (news.kind === 'unreachable') {
    holding.isReachable = false;
    return;
  }
  const isRestarted = holding.epoch !== news.epoch;
  holding.isReachable = true;
  holding.epoch = news.epoch;
  if (isRestarted || news.kind === 'listing') empty(holding, isRestarted);
  if (news.clockMs !== undefined) keepClock(holdings, { remoteMs: news.clockMs, at: now });
  news.changes.forEach((change) => apply(holding, change));
}

function empty(holding: Holding, withPending: boolean): void {
  holding.parts.clear();
  Object.assign(holding, { usedTokens: 0 });
  if (withPending) holding.pending.clear();
}

/** An answer arrives later than its clock was read: the reading that is furthest ahead is best. */
function keepClock(holdings: Holdings, read: RemoteClock): void {
  const known = remoteNow(holdings, read.at);
  if (known === undefined || read.remoteMs > known) Object.assign(holdings, { clock: read });
}

function apply(holding: Holding, change: PartChange): void {
  const key = partKey(change.salt, change.id);
  const known = holding.parts.get(key)?.tokens ?? 0;
  const tokens = change.kind === 'complete' ? change.tokens : 0;
  Object.assign(holding, { usedTokens: holding.usedTokens + tokens - known });
  holding.parts.delete(key);
  holding.pending.delete(key);
  if (change.kind === 'gone') return;
  holding.parts.set(key, { salt: change.salt, id: change.id, tokens: change.tokens });
}

export function remoteNow({ clock }: Holdings, now: task.Instant): number | undefined {
  return clock && Math.round(clock.remoteMs + now.monotonicMs - clock.at.monotonicMs);
}

/** Tokens that are taken or asked for. */
export function takenTokens(holding: Holding, nowMs: number): number {
  [...holding.pending].forEach(([key, { atMs }]) => {
    if (nowMs - atMs > SAVE_TIMEOUT_MS) holding.pending.delete(key);
  });
  return [...holding.pending.values()].reduce(
    (sum, { tokens }) => sum + tokens,
    holding.usedTokens,
  );
}
