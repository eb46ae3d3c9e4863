/**
 * Messages to and from the cold starts task, which holds the rights to send to cold upstreams.
 */
import type * as configuration from './configuration.js';
import type * as taskLifecycle from './task-lifecycle.js';
import type * as membership from './membership.js';
import type * as platform from './platform.js';

/** The right to send to one cold upstream. Times are on the holder's monotonic clock. */
export type ColdStartRight =
  | { kind: 'none' }
  /** No other instance can have sent after `sinceMs`; the holder may send until `untilMs`. */
  | { kind: 'held'; sinceMs: number; untilMs: number };

/** Sent to the routing task whenever a right is acquired, renewed or lost. */
export type ColdStartRightChanged = {
  type: 'cold-starts.right-changed';
  upstream: string;
  right: ColdStartRight;
};

export type ColdStartsMessage =
  | taskLifecycle.LifecycleMessage
  | configuration.ConfigurationAdopted
  | membership.MembershipChanged
  | platform.PlatformAnswered
  /** Replaces the set of cold upstreams. */
  | { type: 'cold-starts.set-cold-upstreams'; upstreams: readonly string[] }
  | { type: 'cold-starts.tick' };
