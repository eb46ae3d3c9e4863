/** Messages to and from the peers task, and the gossip messages that instances exchange. */
import type * as taskLifecycle from './task-lifecycle.js';
import type * as membership from './membership.js';

/**
 * A message between instances. It carries soft state only: the recipient validates it and may drop
 * it.
 */
export type GossipMessage =
  | { kind: 'configuration'; configuration: unknown }
  | { kind: 'configuration-changes'; changes: unknown }
  /** Asks for all changes after a generation; the peers task fills in this instance's address. */
  | { kind: 'configuration-request'; generation: number; address: string }
  | Heartbeat
  /** A digest for the task of this name, which validates the content. */
  | { kind: 'digest'; for: DigestTask; from: string; digest: unknown };

/** Sent every second or two to a few instances. Its lists of names are bounded in length. */
export type Heartbeat = {
  kind: 'heartbeat';
  from: string;
  incarnation: string;
  /** Increases within one incarnation. */
  sequence: number;
  /** The sender's configuration generation; `ageMs` is the time since the platform confirmed it. */
  generation: number;
  ageMs?: number | undefined;
  /** Instances whose heartbeats do not reach the sender's data centre; absent if there are none. */
  silent?: readonly string[] | undefined;
  /** Data centres from which no heartbeat reaches the sender; absent if there are none. */
  cut?: readonly string[] | undefined;
};

/** Tasks that exchange digests with the same task of other instances. */
export type DigestTask = 'routing' | 'admission' | 'claims' | 'membership' | 'orders';

/** Delivered to the task that the digest is for. */
export type DigestReceived = { type: 'peers.digest-received'; from: string; digest: unknown };

export type PeersMessage =
  | taskLifecycle.LifecycleMessage
  | membership.MembershipChanged
  /**
   * Sends a message to the named instances. Delivery is best effort: losing a message is harmless.
   */
  | { type: 'peers.send'; to: readonly string[] | 'all' | 'seeds'; message: GossipMessage }
  /** Sends a reply to the address that a received message named. */
  | { type: 'peers.reply'; address: string; message: GossipMessage };
