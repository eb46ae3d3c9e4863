/** Messages to and from the task that talks with other instances, and what instances tell each other. */
import type * as life from './life.js';
import type * as membership from './membership.js';

/** What one instance tells another. Soft state only: the receiver checks it and may drop it. */
export type PeerNote =
  | { kind: 'configuration'; configuration: unknown }
  | { kind: 'heartbeat'; from: string; incarnation: string; sequence: number }
  /** A digest for the task of this name; its content is checked by that task. */
  | { kind: 'digest'; for: DigestReader; from: string; digest: unknown };

/** Tasks that exchange digests with the same task of other instances. */
export type DigestReader = 'routing' | 'admission' | 'claims' | 'membership' | 'orders';

/** Delivered to the reader of a digest. */
export type DigestReceived = { type: 'peers.digest-received'; from: string; digest: unknown };

export type PeersMessage =
  | life.TaskMessage
  | membership.MembershipChanged
  /** Sends a note to the named instances; losing one is harmless. */
  | { type: 'peers.notify'; to: readonly string[] | 'all'; note: PeerNote };
