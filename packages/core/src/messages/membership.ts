/** Messages to and from the membership task. */
import type * as taskLifecycle from './task-lifecycle.js';
import type * as peers from './peers.js';
import type * as platform from './platform.js';

/** Another instance, as this one sees it. */
export type Member = platform.ListedInstance & { evidence: Evidence };

/**
 * `listed`: known only from the platform's list; `heard`: its own heartbeat arrived recently, or a
 * relay vouches for it; `silent`: neither.
 */
export type Evidence = 'listed' | 'heard' | 'silent';

/** Sent to the tasks that distribute work among instances. */
export type MembershipChanged = { type: 'membership.changed'; members: readonly Member[] };

export type MembershipMessage =
  | taskLifecycle.LifecycleMessage
  | platform.PlatformInstancesChanged
  | peers.DigestReceived
  | { type: 'membership.heartbeat-received'; heartbeat: peers.Heartbeat }
  /** The generation and time of confirmation that this instance's heartbeats report. */
  | {
      type: 'membership.configuration-confirmed';
      generation: number;
      confirmedAtMs: number | undefined;
    }
  | { type: 'membership.tick' };
