/**
 * Maps each task's name to the messages it accepts. Tasks reach a plug-in's task by this name only.
 */
import type * as admission from './admission.js';
import type * as callers from './callers.js';
import type * as canary from './canary.js';
import type * as claims from './claims.js';
import type * as coldStarts from './cold-starts.js';
import type * as configuration from './configuration.js';
import type * as exchange from './exchange.js';
import type * as fleet from './fleet.js';
import type * as gateway from './gateway.js';
import type * as journal from './journal.js';
import type * as membership from './membership.js';
import type * as orders from './orders.js';
import type * as peerUpdates from './peer-updates.js';
import type * as peers from './peers.js';
import type * as platform from './platform.js';
import type * as readers from './readers.js';
import type * as relays from './relays.js';
import type * as rollouts from './rollouts.js';
import type * as routing from './routing.js';
import type * as sources from './sources.js';
import type * as stores from './stores.js';
import type * as streamOrigins from './stream-origins.js';
import type * as upstreams from './upstreams.js';

export type Mailboxes = {
  admission: admission.AdmissionMessage;
  callers: callers.CallersMessage;
  canary: canary.CanaryMessage;
  carrier: rollouts.OrderSenderMessage;
  claims: claims.ClaimsMessage;
  contextStores: fleet.ContextStoresMessage;
  coldStarts: coldStarts.ColdStartsMessage;
  configuration: configuration.ConfigurationMessage;
  exchange: exchange.ExchangeSupervisorMessage;
  fleet: fleet.FleetMessage;
  front: gateway.FrontEndMessage;
  gateway: gateway.GatewayMessage;
  journal: journal.JournalMessage;
  membership: membership.MembershipMessage;
  metrics: journal.MetricsMessage;
  orders: orders.OrdersMessage;
  peerNotes: peerUpdates.PeerUpdatesMessage;
  peers: peers.PeersMessage;
  platform: platform.PlatformMessage;
  readers: readers.ReadersMessage;
  relays: relays.RelaysMessage;
  rollouts: rollouts.RolloutsMessage;
  routing: routing.RoutingMessage;
  sources: sources.SourcesMessage;
  stores: stores.StoresMessage;
  streamOrigins: streamOrigins.StreamOriginsMessage;
  transport: gateway.TransportMessage;
  upstreams: upstreams.UpstreamsMessage;
};

export type TaskName = keyof Mailboxes;
