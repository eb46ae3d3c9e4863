/** Messages to the task that exchanges peer updates with the other instances of the platform. */
import type * as canary from '../canary/types.js';
import type * as peerWork from '../fleet/peer-work.js';
import type * as quarantine from '../quarantine/types.js';
import type * as sharing from '../speed/sharing.js';
import type * as inventory from '../shared-context/inventory.js';
import type * as silence from '../silence/types.js';
import type * as shares from '../shares/types.js';
import type * as readers from './readers.js';
import type * as taskLifecycle from './task-lifecycle.js';

/** An instance that may send peer updates, from its entry on the platform. */
export type PeerEndpoint = {
  name: string;
  dataCentre: string;
  /** HOST:PORT at which it receives peer updates; `undefined` if it receives none. */
  notes: string | undefined;
  /** HOST:PORT at which it takes requests; `undefined` if its entry does not say. */
  callers: string | undefined;
  /** Share of a core that the instance has; 0 if it does not say. */
  processorShare: number;
  /** The key with which it signs its peer updates. */
  signingKey: string | undefined;
};

/** Names of the members that receive updates about work, by scope; see `peerWork.Scope`. */
export type Audiences = Readonly<Record<peerWork.Scope, readonly string[]>>;

export type PeerUpdatesMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'peer-updates.members-changed'; members: readonly PeerEndpoint[] }
  | { type: 'peer-updates.audiences-changed'; audiences: Audiences }
  | { type: 'peer-updates.publish-work'; update: peerWork.Update }
  | { type: 'peer-updates.publish-silence'; update: silence.Update }
  | { type: 'peer-updates.publish-speeds'; update: sharing.Update }
  | { type: 'peer-updates.publish-usage'; update: shares.Update }
  | {
      type: 'peer-updates.publish-quarantine';
      update: quarantine.Update;
      audience: quarantine.Audience;
    }
  | { type: 'peer-updates.publish-canary'; update: canary.Update }
  | { type: 'peer-updates.send'; update: PeerUpdate; to: readonly string[] };

/** Updates of context stores that one instance read for others. */
export type StoreUpdates = readonly { store: string; update: inventory.RelayedUpdate }[];

/** An update that one instance sends to another. */
export type PeerUpdate =
  | { kind: 'work'; update: peerWork.Update }
  | { kind: 'silence'; update: silence.Update }
  | { kind: 'usage'; update: shares.Update }
  | { kind: 'quarantine'; update: quarantine.Update }
  /** Ignored by releases that do not know it. */
  | { kind: 'speeds'; update: sharing.Update }
  | { kind: 'canary'; update: canary.Update }
  | { kind: 'stores'; from: string; updates: StoreUpdates }
  | { kind: 'question'; from: string; question: readers.Question }
  | {
      kind: 'answer';
      from: string;
      question: readers.Question;
      positions: readonly readers.RelayedPosition[];
    }
  | { kind: 'changes'; from: string; changes: readers.WatchChanges };
