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
export type StoreUpdate =
  | { kind: 'changes'; epoch: number; clockMs: number | undefined; changes: readonly PartChange[] }
  /** Everything that it holds; replaces what was known. */
  | { kind: 'listing'; epoch: number; clockMs: number | undefined; changes: readonly PartChange[] }
  | { kind: 'unreachable' };

export type StoreContents = {
  isReachable: boolean;
  epoch: number | undefined;
  /** Tokens by salt and id. */
  parts: Map<string, { salt: string; id: string; tokens: number }>;
  usedTokens: number;
  /** Saves that were asked for and not reported yet, by key, with the time of asking. */
  pendingSaves: Map<string, { tokens: number; atMs: number }>;
};

/** The upstreams' and stores' common clock, as one of them told it. */
export type RemoteClock = { remoteMs: number; at: task.Instant };

export type Inventory = { stores: Map<string, StoreContents>; clock: RemoteClock | undefined };

/** A save that was not reported within this time is taken as lost. */
export const SAVE_TIMEOUT_MS = 5_000;

export function create(): Inventory {
  return { stores: new Map(), clock: undefined };
}

export function partKey(salt: string, id: string): string {
  return `${salt} ${id}`;
}

export function contentsOf(holdings: Inventory, store: string): StoreContents {
  const found = holdings.stores.get(store);
  if (found) return found;
  const added: StoreContents = {
    isReachable: false,
    epoch: undefined,
    parts: new Map(),
    usedTokens: 0,
    pendingSaves: new Map(),
  };
  holdings.stores.set(store, added);
  return added;
}

export function applyUpdate(
  holdings: Inventory,
  store: string,
  news: StoreUpdate,
  now: task.Instant,
): void {
  const holding = contentsOf(holdings, store);
  if (news.kind === 'unreachable') {
    holding.isReachable = false;
    return;
  }
  const isRestarted = holding.epoch !== news.epoch;
  holding.isReachable = true;
  holding.epoch = news.epoch;
  if (isRestarted || news.kind === 'listing') clear(holding, isRestarted);
  if (news.clockMs !== undefined) updateClock(holdings, { remoteMs: news.clockMs, at: now });
  news.changes.forEach((change) => applyChange(holding, change));
}

function clear(holding: StoreContents, withPending: boolean): void {
  holding.parts.clear();
  Object.assign(holding, { usedTokens: 0 });
  if (withPending) holding.pendingSaves.clear();
}

/** An answer arrives later than its clock was read: the reading that is furthest ahead is best. */
function updateClock(holdings: Inventory, read: RemoteClock): void {
  const known = remoteNow(holdings, read.at);
  if (known === undefined || read.remoteMs > known) Object.assign(holdings, { clock: read });
}

function applyChange(holding: StoreContents, change: PartChange): void {
  const key = partKey(change.salt, change.id);
  const known = holding.parts.get(key)?.tokens ?? 0;
  const tokens = change.kind === 'complete' ? change.tokens : 0;
  Object.assign(holding, { usedTokens: holding.usedTokens + tokens - known });
  holding.parts.delete(key);
  holding.pendingSaves.delete(key);
  if (change.kind === 'gone') return;
  holding.parts.set(key, { salt: change.salt, id: change.id, tokens: change.tokens });
}

export function remoteNow({ clock }: Inventory, now: task.Instant): number | undefined {
  return clock && Math.round(clock.remoteMs + now.monotonicMs - clock.at.monotonicMs);
}

/** Tokens that are taken or asked for. */
export function reservedTokens(holding: StoreContents, nowMs: number): number {
  [...holding.pendingSaves].forEach(([key, { atMs }]) => {
    if (nowMs - atMs > SAVE_TIMEOUT_MS) holding.pendingSaves.delete(key);
  });
  return [...holding.pendingSaves.values()].reduce(
    (sum, { tokens }) => sum + tokens,
    holding.usedTokens,
  );
}
