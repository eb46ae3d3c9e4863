/** Messages to and from the task that holds the rights to send to cold upstreams. */
import type * as configuration from './configuration.js';
import type * as taskLifecycle from './task-lifecycle.js';
import type * as membership from './membership.js';
import type * as platform from './platform.js';

/** The right to send to one cold upstream; times are of the holder's monotonic clock. */
export type ColdStartRight =
  | { kind: 'none' }
  /** Nobody else may have sent after `sinceMs`; the holder may send until `untilMs`. */
  | { kind: 'held'; sinceMs: number; untilMs: number };

/** Sent to the routing task whenever a right is gained, renewed or lost. */
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
  /** All upstreams that count as cold now. */
  | { type: 'cold-starts.set-cold-upstreams'; upstreams: readonly string[] }
  | { type: 'cold-starts.tick' };
