/** Messages to the task that knows the upstreams. */
import type * as evidence from '../fleet/evidence.js';
import type * as listing from '../fleet/listing.js';
import type * as peerWork from '../fleet/peer-work.js';
import type * as placement from '../fleet/placement.js';
import type * as lifecycle from '../gateway/lifecycle-state.js';
import type * as routes from '../gateway/routes.js';
import type * as holdings from '../shared-context/holdings.js';
import type * as gateway from './gateway.js';
import type * as life from './life.js';

export type FleetMessage =
  | life.TaskMessage
  | { type: 'fleet.table'; table: routes.RoutingTable }
  | { type: 'fleet.listed'; news: listing.News }
  /** The list could not be read. */
  | { type: 'fleet.list-unavailable' }
  | { type: 'fleet.evacuated'; dataCentres: readonly string[] }
  | { type: 'fleet.named'; versions: Readonly<Record<string, number>> }
  | { type: 'fleet.members'; names: readonly string[] }
  | { type: 'fleet.place'; wish: placement.Wish; replyTo: gateway.RequestAddress }
  | {
      type: 'fleet.outcome';
      requestId: string;
      upstream: string;
      outcome: lifecycle.Outcome;
    }
  | { type: 'fleet.heard'; upstream: string; requestId: string | undefined; sign: evidence.Sign }
  | {
      type: 'fleet.ask-liveness';
      attempt: string;
      upstream: string;
      replyTo: gateway.RequestAddress;
    }
  | { type: 'fleet.probed'; probe: gateway.Probe; result: ProbeResult }
  | { type: 'fleet.store-news'; store: string; news: holdings.StoreNews }
  /** Another instance tells of its work. */
  | { type: 'fleet.peer-note'; note: peerWork.Note }
  /** The own work is to be told. */
  | { type: 'fleet.tell' }
  | { type: 'fleet.tick' };

export type ProbeResult =
  | { kind: 'healthy'; coldMs: number | undefined }
  /** It answers, but takes no work, or is another upstream at the same address. */
  | { kind: 'unfit'; reason: string }
  | { kind: 'no-answer' };

/** To the task that follows the context stores' events. */
export type ContextStoresMessage =
  | life.TaskMessage
  | { type: 'context-stores.table'; stores: readonly routes.ContextStore[] }
  | { type: 'context-stores.members'; names: readonly string[] }
  /** Another instance told of a store. */
  | { type: 'context-stores.relayed'; store: string }
  | { type: 'context-stores.free'; request: FreeRequest }
  | { type: 'context-stores.poll'; store: string };

/** Frees parts of one store unless it has restarted since. */
export type FreeRequest = {
  store: string;
  address: string;
  epoch: number;
  parts: readonly { salt: string; id: string }[];
};
