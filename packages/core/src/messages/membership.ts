/** Messages to and from the membership task. */
import type * as taskLifecycle from './task-lifecycle.js';
import type * as peers from './peers.js';
import type * as platform from './platform.js';

/** One other instance, as this one sees it. */
export type Member = platform.ListedInstance & { evidence: Evidence };

/** `listed`: only the platform's list says so; `heard`: it spoke lately; `silent`: it did not. */
export type Evidence = 'listed' | 'heard' | 'silent';

/** Sent to the tasks that divide work among instances. */
export type MembershipChanged = { type: 'membership.changed'; members: readonly Member[] };

export type MembershipMessage =
  | taskLifecycle.LifecycleMessage
  | platform.PlatformInstancesChanged
  | peers.DigestReceived
  | { type: 'membership.heartbeat-received'; heartbeat: peers.Heartbeat }
  /** What the own heartbeats say of the configuration. */
  | {
      type: 'membership.configuration-confirmed';
      generation: number;
      confirmedAtMs: number | undefined;
    }
  | { type: 'membership.tick' };
