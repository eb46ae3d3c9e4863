/** To the task that exchanges notes of work with the other instances of the platform. */
import type * as peerWork from '../fleet/peer-work.js';
import type * as inventory from '../shared-context/inventory.js';
import type * as eventReaders from '../shared-context/event-readers.js';
import type * as taskLifecycle from './task-lifecycle.js';

/** An instance that may send, as its entry on the platform shows it. */
export type PeerEndpoint = {
  name: string;
  dataCentre: string;
  /** HOST:PORT at which it takes notes; nothing if it takes none. */
  notes: string | undefined;
  /** With which it signs its notes. */
  signingKey: string | undefined;
};

export type PeerUpdatesMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'peer-updates.members-changed'; members: readonly PeerEndpoint[] }
  | { type: 'peer-updates.publish-work'; update: peerWork.Update }
  /** News of a context store, for instances that do not read it themselves. */
  | { type: 'peer-updates.relay-store'; store: eventReaders.Store; update: StoreChanges };

/** What a reader tells of a store; without changes it tells that the store answers. */
export type StoreChanges = Extract<inventory.StoreUpdate, { kind: 'changes' }>;

/** What instances tell each other. */
export type PeerUpdate =
  | { kind: 'work'; update: peerWork.Update }
  | { kind: 'store'; from: string; store: string; update: StoreChanges };
