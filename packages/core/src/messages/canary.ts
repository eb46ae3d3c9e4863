/** Messages to the canary task, which moves services to new versions of their upstreams' software. */
import type * as canary from '../canary/types.js';
import type * as peerWork from '../fleet/peer-work.js';
import type * as platform from './platform.js';
import type * as taskLifecycle from './task-lifecycle.js';

export type OrdersRead = {
  type: 'canary.orders-read';
  orders: readonly canary.Order[];
  /** Names of orders that no longer exist. */
  removed: readonly string[];
  /** Names of orders that are there and cannot be read; what was known of them still holds. */
  unreadable: readonly string[];
  isSnapshot: boolean;
  /** Whether the store came back from an old copy: then it may have forgotten what was written. */
  isFromCopy: boolean;
};

export type CanaryMessage =
  | taskLifecycle.LifecycleMessage
  | platform.PlatformAnswered
  | OrdersRead
  | { type: 'canary.members-changed'; names: readonly string[] }
  | { type: 'canary.sharing-changed'; sharing: peerWork.Sharing }
  | { type: 'canary.versions-reported'; services: readonly canary.ServiceVersions[] }
  | { type: 'canary.attempt-ended'; sample: canary.Sample }
  | { type: 'canary.update-received'; update: canary.Update }
  | { type: 'canary.tick' }
  | { type: 'canary.lease-tick' };
