/** Messages to and from the task that issues orders to upstreams under a lease. */
import type * as configuration from './configuration.js';
import type * as taskLifecycle from './task-lifecycle.js';
import type * as membership from './membership.js';
import type * as peers from './peers.js';
import type * as platform from './platform.js';
import type * as upstreams from './upstreams.js';

export type OrdersMessage =
  | taskLifecycle.LifecycleMessage
  | configuration.ConfigurationAdopted
  | membership.MembershipChanged
  | peers.DigestReceived
  | platform.PlatformReply
  | upstreams.EngineReported
  | upstreams.OrderReport
  | { type: 'orders.tick' };
