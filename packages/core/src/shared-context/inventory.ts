/**
 * Tracks the contents of the context stores from their events. Events arrive late or get lost, so parts
 * that exist may be missing here; but every part listed was reported complete in the store's current
 * epoch. Updated in place, since only the owning task sees it.
 */
import type * as task from '../kernel/task.js';

export type PartChange =
  | { kind: 'complete'; salt: string; id: string; tokens: number }
  | { kind: 'gone'; salt: string; id: string };

/** An update about one store. */
export type StoreUpdate =
  | { kind: 'changes'; epoch: number; clockMs: number | undefined; changes: readonly PartChange[] }
  /** Complete contents; replaces what was known before. */
  | { kind: 'listing'; epoch: number; clockMs: number | undefined; changes: readonly PartChange[] }
  | { kind: 'unreachable' };

/** The updates that a reader passes on; it does not pass on whole listings. */
export type RelayedUpdate = Exclude<StoreUpdate, { kind: 'listing' }>;

export type StoreContents = {
  isReachable: boolean;
  epoch: number | undefined;
  /** Parts by `partKey`. */
  parts: Map<string, { salt: string; id: string; tokens: number }>;
  /** Number of parts under each salt. */
  salts: Map<string, number>;
  usedTokens: number;
  /** Saves that were requested and not reported yet, by part key; `atMs` is the time of the request. */
  pendingSaves: Map<string, { tokens: number; atMs: number }>;
};

/** A reading of the clock that upstreams and stores share, with the local time of the reading. */
export type RemoteClock = { remoteMs: number; at: task.Instant };

export type Inventory = { stores: Map<string, StoreContents>; clock: RemoteClock | undefined };

/** A save that was not reported within this time counts as lost. */
export const SAVE_TIMEOUT_MS = 5_000;

export function create(): Inventory {
  return { stores: new Map(), clock: undefined };
}

export function partKey(salt: string, id: string): string {
  return `${salt} ${id}`;
}

export function contentsOf(inventory: Inventory, store: string): StoreContents {
  const found = inventory.stores.get(store);
  if (found) return found;
  const added: StoreContents = {
    isReachable: false,
    epoch: undefined,
    parts: new Map(),
    salts: new Map(),
    usedTokens: 0,
    pendingSaves: new Map(),
  };
  inventory.stores.set(store, added);
  return added;
}

export function applyUpdate(
  inventory: Inventory,
  store: string,
  update: StoreUpdate,
  now: task.Instant,
): void {
  const contents = contentsOf(inventory, store);
  if (update.kind === 'unreachable') {
    contents.isReachable = false;
    return;
  }
  const isRestarted = contents.epoch !== update.epoch;
  contents.isReachable = true;
  contents.epoch = update.epoch;
  if (isRestarted || update.kind === 'listing') clear(contents, isRestarted);
  if (update.clockMs !== undefined) updateClock(inventory, { remoteMs: update.clockMs, at: now });
  update.changes.forEach((change) => applyChange(contents, change));
}

function clear(contents: StoreContents, includesPending: boolean): void {
  contents.parts.clear();
  contents.salts.clear();
  Object.assign(contents, { usedTokens: 0 });
  if (includesPending) contents.pendingSaves.clear();
}

/** Readings arrive with a delay, so the one that is furthest ahead is the most accurate and is kept. */
function updateClock(inventory: Inventory, reading: RemoteClock): void {
  const known = remoteNow(inventory, reading.at);
  if (known === undefined || reading.remoteMs > known) Object.assign(inventory, { clock: reading });
}

function applyChange(contents: StoreContents, change: PartChange): void {
  const key = partKey(change.salt, change.id);
  const known = contents.parts.get(key);
  const tokens = change.kind === 'complete' ? change.tokens : 0;
  Object.assign(contents, { usedTokens: contents.usedTokens + tokens - (known?.tokens ?? 0) });
  if (contents.parts.delete(key)) countPart(contents, change.salt, -1);
  contents.pendingSaves.delete(key);
  if (change.kind === 'gone') return;
  contents.parts.set(key, { salt: change.salt, id: change.id, tokens: change.tokens });
  countPart(contents, change.salt, 1);
}

function countPart({ salts }: StoreContents, salt: string, by: 1 | -1): void {
  const count = (salts.get(salt) ?? 0) + by;
  if (count > 0) salts.set(salt, count);
  else salts.delete(salt);
}

export function remoteNow({ clock }: Inventory, now: task.Instant): number | undefined {
  return clock && Math.round(clock.remoteMs + now.monotonicMs - clock.at.monotonicMs);
}

/** Tokens in use plus those of pending saves; drops pending saves that have timed out. */
export function reservedTokens(contents: StoreContents, nowMs: number): number {
  [...contents.pendingSaves].forEach(([key, { atMs }]) => {
    if (nowMs - atMs > SAVE_TIMEOUT_MS) contents.pendingSaves.delete(key);
  });
  return [...contents.pendingSaves.values()].reduce(
    (sum, { tokens }) => sum + tokens,
    contents.usedTokens,
  );
}
