/** State of the fleet task: all upstreams, and the other inputs of placement. */
import * as applied from '../canary/applied.js';
import type * as routes from '../gateway/routes.js';
import type * as targets from '../rollouts/targets.js';
import type * as promptMix from '../prompt-mix/state.js';
import * as ledger from '../quarantine/ledger.js';
import type * as assigned from '../returns/assigned.js';
import * as accountLedger from '../shares/ledger.js';
import type * as shares from '../shares/types.js';
import * as waitingQueue from '../shares/waiting-queue.js';
import * as inventory from '../shared-context/inventory.js';
import * as silence from '../silence/types.js';
import type * as speed from '../speed/types.js';
import * as discovery from './discovery.js';
import type * as peerWork from './peer-work.js';
import * as reach from './reach.js';
import type * as waitClaims from './wait-claims.js';

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
  /** Ids of upstreams with new samples of their speed, the newest last. */
  changedSpeeds: Set<string>;
  /** When the speed of upstreams was last told to peers, in monotonic ms. */
  speedsSentAtMs: number;
  isScheduled: boolean;
};

export type State = {
  instance: string;
  dataCentre: string;
  bounds: Bounds;
  registry: discovery.Registry;
  services: ReadonlyMap<string, routes.Service>;
  contextStores: readonly routes.ContextStore[];
  /** Priorities of routes and client accounts in the routing table, in ascending order. */
  ranks: readonly number[];
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
  /** How fast the services work. Updated in place. */
  speeds: Map<string, speed.ServiceModel>;
  /** Mean tokens of a prompt, by service. Updated in place. */
  meanPromptTokens: Map<string, number>;
  outbox: Outbox;
  /** What peers tell of upstreams that do not answer. Updated in place. */
  silence: silence.State;
  /** Whether any upstream is reached, and the evidence. Updated in place. */
  reach: reach.State;
  /** Names of the optional features that the settings enable. */
  features: ReadonlySet<string>;
  /** Services of which an upstream has reported its slowdown. Updated in place. */
  slowdownServices: Set<string>;
  /** Work by client account, here and as peers tell it. Updated in place. */
  ledger: shares.Ledger;
  /** Requests that wait for a place. Updated in place. */
  waiting: waitingQueue.Queue<waitClaims.Waiter>;
  /** Updated in place. */
  assigned: assigned.Assigned;
  /** Updated in place. */
  promptMixes: promptMix.Mixes;
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
  features: readonly string[] = [],
): State {
  return {
    instance,
    dataCentre,
    bounds,
    registry: discovery.create(),
    services: new Map(),
    contextStores: [],
    ranks: [],
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
    speeds: new Map(),
    meanPromptTokens: new Map(),
    silence: silence.create(),
    reach: reach.create(),
    outbox: {
      incarnation,
      changedUpstreams: new Set(),
      sentParts: [],
      changedSpeeds: new Set(),
      speedsSentAtMs: -Infinity,
      isScheduled: false,
    },
    features: new Set(features),
    slowdownServices: new Set(),
    ledger: accountLedger.create(),
    waiting: waitingQueue.create(),
    assigned: new Map(),
    promptMixes: new Map(),
    quarantine: ledger.create(instance),
    canary: applied.create(bounds),
  };
}
