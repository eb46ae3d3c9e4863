/** The state of the fleet's task: every upstream, and what decides where requests go. */
import type * as routes from '../gateway/routes.js';
import * as holdings from '../shared-context/holdings.js';
import * as listing from './listing.js';
import type * as peerWork from './peer-work.js';

export type Named = { version: number; sinceMs: number };

export type Bounds = {
  /** Time after which requests must not begin on weights that were replaced. */
  rolloutMs: number;
  /** Factor and allowance on the rate that a cold upstream bears, over all instances. */
  coldOverrun: number;
  coldSlack: number;
};

/** What the peers have not been told yet. Updated in place. */
export type Telling = {
  /** Tells this life of the process from earlier ones. */
  life: string;
  /** Upstreams at which the own work has changed. */
  changed: Set<string>;
  sent: peerWork.SentParts[];
  isDue: boolean;
};

export type State = {
  instance: string;
  dataCentre: string;
  bounds: Bounds;
  listing: listing.Listing;
  services: ReadonlyMap<string, routes.Service>;
  contextStores: readonly routes.ContextStore[];
  holdings: holdings.Holdings;
  /** Data centres that get no new work. */
  evacuated: ReadonlySet<string>;
  /** The newest weights of each model, and since when this instance knows of them. */
  named: ReadonlyMap<string, Named>;
  /** The lowest weights of each model that an upstream may have, and since when. */
  lowest: { versions: ReadonlyMap<string, number>; sinceMs: number };
  /** Whether the names have been read at all. */
  hasReadNames: boolean;
  /** Names of the instances that may send, this one included; empty while unknown. */
  members: readonly string[];
  peerWork: peerWork.PeerWork;
  /** What an engine reads, in tokens for each millisecond, by service. Updated in place. */
  readRates: Map<string, number>;
  telling: Telling;
};

export function initial(instance: string, dataCentre: string, bounds: Bounds, life: string): State {
  return {
    instance,
    dataCentre,
    bounds,
    listing: listing.create(),
    services: new Map(),
    contextStores: [],
    holdings: holdings.create(),
    evacuated: new Set(),
    named: new Map(),
    lowest: { versions: new Map(), sinceMs: 0 },
    hasReadNames: false,
    members: [],
    peerWork: new Map(),
    readRates: new Map(),
    telling: { life, changed: new Set(), sent: [], isDue: false },
  };
}
