/** State of the fleet task: all upstreams, and the other inputs of placement. */
import * as applied from '../canary/applied.js';
import type * as routes from '../gateway/routes.js';
import type * as targets from '../rollouts/targets.js';
import * as ledger from '../quarantine/ledger.js';
import * as inventory from '../shared-context/inventory.js';
import * as discovery from './discovery.js';
import type * as peerWork from './peer-work.js';

export type Bounds = {
  /** Time after a replacement of weights from which requests must not start on the old ones. */
  rolloutMs: number;
  /** Factor and additive allowance (requests) on the cold rate of an upstream, over all instances. */
  coldOverrun: number;
  coldSlack: number;
  /** Largest share of requests to an unproven version, over all instances; undefined if not limited. */
  exposureShare?: number | undefined;
  /** Requests allowed beyond that share. */
  exposureSlack?: number | undefined;
};

/** Changes that have not been sent to peers yet. Updated in place. */
export type Outbox = {
  /** Distinguishes this run of the process from earlier ones. */
  incarnation: string;
  /** Ids of upstreams at which this instance's work has changed. */
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
  /** Data centres that receive no new work. */
  evacuatedDataCentres: ReadonlySet<string>;
  /** Newest weight version of each model; those of the first read can have been named at any time before. */
  targetVersions: targets.Targets;
  /** Lowest weight version of each model that an upstream may still have, and since when. */
  oldestInUse: { versions: ReadonlyMap<string, number>; sinceMs: number };
  /** Names of the instances that may send, including this one; empty while unknown. */
  members: readonly string[];
  /** When each instance that has left the list of members recently left it, in monotonic ms. */
  formerMembers: ReadonlyMap<string, number>;
  /** The members and the former ones, among which the rates of upstreams are divided. */
  senders: readonly string[];
  peerWork: peerWork.ReportsByPeer;
  sharing: peerWork.Sharing;
  /** Tokens per millisecond that an engine reads, by service. Updated in place. */
  prefillRates: Map<string, number>;
  /** Mean tokens of a prompt, by service. Updated in place. */
  meanPromptTokens: Map<string, number>;
  outbox: Outbox;
  /** Updated in place. */
  quarantine: ledger.Ledger;
  /** Updated in place. */
  canary: applied.Applied;
};

export function initial(
  instance: string,
  dataCentre: string,
  bounds: Bounds,
  incarnation: string,
): State {
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
    members: [],
    formerMembers: new Map(),
    senders: [],
    peerWork: new Map(),
    sharing: 'with-all',
    prefillRates: new Map(),
    meanPromptTokens: new Map(),
    outbox: { incarnation, changedUpstreams: new Set(), sentParts: [], isScheduled: false },
    quarantine: ledger.create(instance),
    canary: applied.create(bounds),
  };
}
