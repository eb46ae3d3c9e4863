/** Plans which parts of a prompt an upstream fetches from context stores, and which it saves there. */
import type * as request from '../gateway/request.js';
import type * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import * as rendezvous from '../membership/rendezvous.js';
import * as inventory from './inventory.js';
import * as salts from './salt.js';

/** Instructions about shared context that are sent to the upstream with a request. */
export type ContextPlan = {
  salt: string;
  /** Ids of the parts that other requests share. */
  sharedParts: readonly string[];
  /** Weight version; an upstream with other weights does not run the request. */
  expectedVersion: number;
  /** For each part of the prompt, the address of the store to fetch it from. */
  fetchFrom: readonly (string | undefined)[];
  /** For each part of the prompt, the address of the store to save it to. */
  saveTo: readonly (string | undefined)[];
  /** On the upstreams' clock; the upstream abandons a fetch that takes longer. */
  fetchDeadlineMs: number | undefined;
};

/** A fetch that takes this long leaves just enough time to read the part within the usual target of 800 ms. */
export const FETCH_TIMEOUT_MS = 400;
/** Share of a store's capacity that may be filled; reservations in flight need the rest. */
const MAX_FILL_SHARE = 0.96;
/** Stores that are tried in rank order until one has room. */
const MAX_STORE_CANDIDATES = 3;

export type Inputs = {
  inventory: inventory.Inventory;
  stores: readonly routes.ContextStore[];
  now: task.Instant;
};

export function create(inputs: Inputs, prompt: request.Prompt, salt: salts.Salt): ContextPlan {
  const text = salts.format(salt);
  const shared = prompt.parts.slice(0, -1);
  const own = prompt.parts.length > 0 ? [undefined] : [];
  const found = shared.map((part) => findStore(inputs, text, part.id));
  const targets = shared.map((part, at) =>
    found[at] ? undefined : chooseStore(inputs, text, part),
  );
  const remoteNow = inventory.remoteNow(inputs.inventory, inputs.now);
  const mayFetch = remoteNow !== undefined;
  return {
    salt: text,
    sharedParts: shared.map(({ id }) => id),
    expectedVersion: salt.version,
    fetchFrom: [...found.map((store) => (mayFetch ? store?.address : undefined)), ...own],
    saveTo: [...targets.map((store) => store?.address), ...own],
    fetchDeadlineMs: remoteNow === undefined ? undefined : remoteNow + FETCH_TIMEOUT_MS,
  };
}

/** A reachable store that holds the complete part. */
export function findStore(
  { inventory: current, stores }: Inputs,
  salt: string,
  id: string,
): routes.ContextStore | undefined {
  const key = inventory.partKey(salt, id);
  return stores.find(({ name }) => {
    const contents = current.stores.get(name);
    return contents?.isReachable === true && contents.parts.has(key);
  });
}

/**
 * Chooses the store to save a part to and reserves room there. All instances rank the stores alike, so a
 * part is saved in one place without coordination.
 */
function chooseStore(
  { inventory: current, stores, now }: Inputs,
  salt: string,
  part: request.PromptPart,
): routes.ContextStore | undefined {
  const key = inventory.partKey(salt, part.id);
  const ranked = rankByCapacity(key, stores).slice(0, MAX_STORE_CANDIDATES);
  const target = ranked.find((store) => {
    const contents = current.stores.get(store.name);
    if (!contents?.isReachable) return false;
    const reserved = inventory.reservedTokens(contents, now.monotonicMs);
    return reserved + part.tokens <= store.capacityTokens * MAX_FILL_SHARE;
  });
  const contents = target && current.stores.get(target.name);
  if (!target || !contents || contents.pendingSaves.has(key)) return undefined;
  contents.pendingSaves.set(key, { tokens: part.tokens, atMs: now.monotonicMs });
  return target;
}

/** Weighted rendezvous hashing: a store's chance to rank first is proportional to its capacity. */
function rankByCapacity(
  key: string,
  stores: readonly routes.ContextStore[],
): readonly routes.ContextStore[] {
  return stores
    .map((store) => ({
      store,
      score: -store.capacityTokens / Math.log(rendezvous.hashFraction(key, store.name)),
    }))
    .sort((a, b) => b.score - a.score)
    .map(({ store }) => store);
}
