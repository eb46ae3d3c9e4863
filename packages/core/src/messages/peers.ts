/** Messages to and from the task that talks with other instances, and what instances tell each other. */
import type * as taskLifecycle from './task-lifecycle.js';
import type * as membership from './membership.js';

/** What one instance tells another. Soft state only: the receiver checks it and may drop it. */
export type GossipMessage =
  | { kind: 'configuration'; configuration: unknown }
  | { kind: 'configuration-changes'; changes: unknown }
  /** Asks for what comes after a generation; the peers task fills in the own address. */
  | { kind: 'configuration-request'; generation: number; address: string }
  | Heartbeat
  /** A digest for the task of this name; its content is checked by that task. */
  | { kind: 'digest'; for: DigestTask; from: string; digest: unknown };

/** Sent every second or two to a few instances; names of lists are bounded in number. */
export type Heartbeat = {
  kind: 'heartbeat';
  from: string;
  incarnation: string;
  /** Grows within one incarnation. */
  sequence: number;
  /** The sender's generation of the configuration, and how long ago the platform confirmed it. */
  generation: number;
  ageMs?: number | undefined;
  /** Instances that the sender's data centre does not hear; left out if there are none. */
  silent?: readonly string[] | undefined;
  /** Data centres that the sender does not hear; left out if there are none. */
  cut?: readonly string[] | undefined;
};

/** Tasks that exchange digests with the same task of other instances. */
export type DigestTask = 'routing' | 'admission' | 'claims' | 'membership' | 'orders';

/** Delivered to the reader of a digest. */
export type DigestReceived = { type: 'peers.digest-received'; from: string; digest: unknown };

export type PeersMessage =
  | taskLifecycle.LifecycleMessage
  | membership.MembershipChanged
  /** Sends a note to the named instances; losing one is harmless. */
  | { type: 'peers.send'; to: readonly string[] | 'all' | 'seeds'; message: GossipMessage }
  /** Answers a note at the address that it named. */
  | { type: 'peers.reply'; address: string; message: GossipMessage };
