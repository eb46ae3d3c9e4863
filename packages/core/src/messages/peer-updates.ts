/** Messages to the task that exchanges peer updates with the other instances of the platform. */
import type * as peerWork from '../fleet/peer-work.js';
import type * as inventory from '../shared-context/inventory.js';
import type * as eventReaders from '../shared-context/event-readers.js';
import type * as taskLifecycle from './task-lifecycle.js';

/** An instance that may send peer updates, from its entry on the platform. */
export type PeerEndpoint = {
  name: string;
  dataCentre: string;
  /** HOST:PORT at which it receives peer updates; `undefined` if it receives none. */
  notes: string | undefined;
  /** The key with which it signs its peer updates. */
  signingKey: string | undefined;
};

export type PeerUpdatesMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'peer-updates.members-changed'; members: readonly PeerEndpoint[] }
  | { type: 'peer-updates.publish-work'; update: peerWork.Update }
  /** Changes of a context store, for instances that do not read the store themselves. */
  | { type: 'peer-updates.relay-store'; store: eventReaders.Store; update: StoreChanges };

/** Changes of a store as its reader saw them; an empty update means that the store answers. */
export type StoreChanges = Extract<inventory.StoreUpdate, { kind: 'changes' }>;

/** An update that one instance sends to another. */
export type PeerUpdate =
  | { kind: 'work'; update: peerWork.Update }
  | { kind: 'store'; from: string; store: string; update: StoreChanges };
