/** Which parts of a prompt an upstream fetches from a store, and which it saves there. */
import type * as request from '../gateway/request.js';
import type * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import * as rendezvous from '../membership/rendezvous.js';
import * as inventory from './inventory.js';
import * as salts from './salt.js';

/** What a request names of kept context at its upstream. */
export type ContextPlan = {
  salt: string;
  /** Ids of the parts that other requests share. */
  sharedParts: readonly string[];
  /** An upstream with other weights does not run the request. */
  expectedVersion: number;
  /** For each part of the prompt, the store that it is fetched from. */
  fetchFrom: readonly (string | undefined)[];
  /** For each part of the prompt, the store that it is saved to. */
  saveTo: readonly (string | undefined)[];
  /** By the upstreams' clock: a fetch that takes longer is given up. */
  fetchDeadlineMs: number | undefined;
};

/** A fetch that takes this long leaves just the time to read the part within the usual target of 800 ms. */
export const FETCH_TIMEOUT_MS = 400;
/** Share of a store that is filled: reservations that are under way need the rest. */
const MAX_FILL_SHARE = 0.96;
/** Stores that are tried in the order of their rank, if the first is full. */
const MAX_STORE_CANDIDATES = 3;

export type Inputs = {
  inventory: inventory.Inventory;
  stores: readonly routes.ContextStore[];
  now: task.Instant;
};

export function create(situation: Inputs, prompt: request.Prompt, salt: salts.Salt): ContextPlan {
  const text = salts.format(salt);
  const shared = prompt.parts.slice(0, -1);
  const own = prompt.parts.length > 0 ? [undefined] : [];
  const found = shared.map((part) => findStore(situation, text, part.id));
  const homes = shared.map((part, at) =>
    found[at] ? undefined : chooseStore(situation, text, part),
  );
  const remoteNow = inventory.remoteNow(situation.inventory, situation.now);
  const mayFetch = remoteNow !== undefined;
  return {
    salt: text,
    sharedParts: shared.map(({ id }) => id),
    expectedVersion: salt.version,
    fetchFrom: [...found.map((store) => (mayFetch ? store?.address : undefined)), ...own],
    saveTo: [...homes.map((store) => store?.address), ...own],
    fetchDeadlineMs: remoteNow === undefined ? undefined : remoteNow + FETCH_TIMEOUT_MS,
  };
}

/** The store that holds the whole part. */
export function findStore(
  { inventory: held, stores }: Inputs,
  salt: string,
  id: string,
): routes.ContextStore | undefined {
  const key = inventory.partKey(salt, id);
  return stores.find(({ name }) => {
    const holding = held.stores.get(name);
    return holding?.isReachable === true && holding.parts.has(key);
  });
}

/** Every instance ranks the stores alike, so a part is saved at one place without any message. */
function chooseStore(
  { inventory: held, stores, now }: Inputs,
  salt: string,
  part: request.PromptPart,
): routes.ContextStore | undefined {
  const key = inventory.partKey(salt, part.id);
  const ranked = rankByCapacity(key, stores).slice(0, MAX_STORE_CANDIDATES);
  const home = ranked.find((store) => {
    const holding = held.stores.get(store.name);
    if (!holding?.isReachable) return false;
    const taken = inventory.reservedTokens(holding, now.monotonicMs);
    return taken + part.tokens <= store.capacityTokens * MAX_FILL_SHARE;
  });
  const holding = home && held.stores.get(home.name);
  if (!home || !holding || holding.pendingSaves.has(key)) return undefined;
  holding.pendingSaves.set(key, { tokens: part.tokens, atMs: now.monotonicMs });
  return home;
}

/** Weighted rendezvous hashing: a store's chance to come first follows its capacity. */
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
