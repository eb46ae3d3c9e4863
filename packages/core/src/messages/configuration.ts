/** Messages to and from the configuration task. */
import type * as schema from '../configuration/schema.js';
import type * as taskLifecycle from './task-lifecycle.js';
import type * as membership from './membership.js';
import type * as platform from './platform.js';

/** Sent to every task that uses the configuration, whenever a generation is adopted. */
export type ConfigurationAdopted = {
  type: 'configuration.adopted';
  configuration: schema.Configuration;
};

/**
 * Sent to the routing task when neither the platform nor a peer has confirmed the configuration in
 * force for too long, and when it is confirmed again.
 */
export type ConfirmationStatusChanged = {
  type: 'configuration.confirmation-status-changed';
  confirmationStatus: 'confirmed' | 'unconfirmed';
};

/** A configuration relayed by a peer, not yet validated. */
export type ConfigurationRelayed = { type: 'configuration.relayed'; configuration: unknown };

/** Configuration changes relayed by a peer, not yet validated. */
export type ConfigurationChangesRelayed = {
  type: 'configuration.changes-relayed';
  changes: unknown;
};

/** A peer asks for all changes after a generation; 0 asks for the whole configuration. */
export type ConfigurationRequested = {
  type: 'configuration.requested';
  address: string;
  generation: number;
};

/** A peer's generation, and how long ago the platform last confirmed it to that peer. */
export type ConfigurationPeerConfirmed = {
  type: 'configuration.peer-confirmed';
  from: string;
  generation: number;
  /** `undefined`: the platform has never confirmed it to the peer. */
  ageMs: number | undefined;
};

export type ConfigurationMessage =
  | taskLifecycle.LifecycleMessage
  | platform.PlatformReply
  | ConfigurationRelayed
  | ConfigurationChangesRelayed
  | ConfigurationRequested
  | ConfigurationPeerConfirmed
  /** The set of live peers has changed; a new peer may have a higher generation. */
  | { type: 'configuration.peers-changed'; members: readonly membership.Member[] }
  | { type: 'configuration.tick' };
