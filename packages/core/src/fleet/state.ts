/** The state of the fleet's task: every upstream, and what decides where requests go. */
import type * as routes from '../gateway/routes.js';
import * as inventory from '../shared-context/inventory.js';
import * as discovery from './discovery.js';
import type * as peerWork from './peer-work.js';

export type TargetVersion = { version: number; sinceMs: number };

export type Bounds = {
  /** Time after which requests must not begin on weights that were replaced. */
  rolloutMs: number;
  /** Factor and allowance on the rate that a cold upstream bears, over all instances. */
  coldOverrun: number;
  coldSlack: number;
};

/** What the peers have not been told yet. Updated in place. */
export type Outbox = {
  /** Tells this life of the process from earlier ones. */
  incarnation: string;
  /** Upstreams at which the own work has changed. */
  changedUpstreams: Set<string>;
  sentParts: peerWork.SentParts[];
  isScheduled: boolean;
};

export type State = {
  instance: string;
  dataCentre: string;
  bounds: Bounds;
  registry: discovery.Registry;
  services: ReadonlyMap<string, routes.Service>;
  contextStores: readonly routes.ContextStore[];
  inventory: inventory.Inventory;
  /** Data centres that get no new work. */
  evacuatedDataCentres: ReadonlySet<string>;
  /** The newest weights of each model, and since when this instance knows of them. */
  targetVersions: ReadonlyMap<string, TargetVersion>;
  /** The lowest weights of each model that an upstream may have, and since when. */
  oldestInUse: { versions: ReadonlyMap<string, number>; sinceMs: number };
  /** Whether the names have been read at all. */
  hasReadTargetVersions: boolean;
  /** Names of the instances that may send, this one included; empty while unknown. */
  members: readonly string[];
  peerWork: peerWork.ReportsByPeer;
  /** What an engine reads, in tokens for each millisecond, by service. Updated in place. */
  prefillRates: Map<string, number>;
  outbox: Outbox;
};

export function initial(instance: string, dataCentre: string, bounds: Bounds, life: string): State {
  return {
    instance,
    dataCentre,
    bounds,
    registry: discovery.create(),
    services: new Map(),
    contextStores: [],
    inventory: inventory.create(),
    evacuatedDataCentres: new Set(),
    targetVersions: new Map(),
    oldestInUse: { versions: new Map(), sinceMs: 0 },
    hasReadTargetVersions: false,
    members: [],
    peerWork: new Map(),
    prefillRates: new Map(),
    outbox: { incarnation: life, changedUpstreams: new Set(), sentParts: [], isScheduled: false },
  };
}
