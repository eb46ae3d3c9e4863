/** Messages to and from the configuration task. */
import type * as schema from '../configuration/schema.js';
import type * as taskLifecycle from './task-lifecycle.js';
import type * as membership from './membership.js';
import type * as platform from './platform.js';

/** Sent to every task that works by the configuration, whenever a generation is adopted. */
export type ConfigurationAdopted = {
  type: 'configuration.adopted';
  configuration: schema.Configuration;
};

/**
 * Sent to the routing task when the configuration in force has not been confirmed for too long, by
 * the platform or by peers, and when it is confirmed again.
 */
export type ConfirmationStatusChanged = {
  type: 'configuration.confirmation-status-changed';
  confirmationStatus: 'confirmed' | 'unconfirmed';
};

/** A configuration as a peer relayed it; unchecked. */
export type ConfigurationRelayed = { type: 'configuration.relayed'; configuration: unknown };

/** Changes as a peer relayed them; unchecked. */
export type ConfigurationChangesRelayed = {
  type: 'configuration.changes-relayed';
  changes: unknown;
};

/** A peer lacks what comes after a generation; 0 stands for "everything". */
export type ConfigurationRequested = {
  type: 'configuration.requested';
  address: string;
  generation: number;
};

/** A peer's generation, and how long ago the platform last confirmed it there. */
export type ConfigurationPeerConfirmed = {
  type: 'configuration.peer-confirmed';
  from: string;
  generation: number;
  /** Nothing: never confirmed there. */
  ageMs: number | undefined;
};

export type ConfigurationMessage =
  | taskLifecycle.LifecycleMessage
  | platform.PlatformReply
  | ConfigurationRelayed
  | ConfigurationChangesRelayed
  | ConfigurationRequested
  | ConfigurationPeerConfirmed
  /** The set of live peers has changed; new ones may know a higher generation. */
  | { type: 'configuration.peers-changed'; members: readonly membership.Member[] }
  | { type: 'configuration.tick' };
