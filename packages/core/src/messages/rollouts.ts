/**
 * Messages to the rollouts task, which brings upstreams to the newest weights, and to the order
 * sender.
 */
import type * as gateway from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import type * as inputs from '../rollouts/inputs.js';
import type * as taskLifecycle from './task-lifecycle.js';
import type * as platform from './platform.js';

/** An upstream's report of its own state. */
export type RolloutStatus = {
  /** Number of orders that it has accepted. */
  acceptedOrders: number;
  isBusy: boolean;
  models: readonly { model: string; version: number }[];
};

export type RolloutStatusAnswer =
  { kind: 'report'; report: RolloutStatus } | { kind: 'no-report'; reason: string };

/** `fenced-off`: the upstream has seen a higher fencing token. */
export type WeightsOrderAnswer =
  | 'accepted'
  | 'already-done'
  | 'conflict'
  | 'fenced-off'
  | 'wrong-upstream'
  | 'refused'
  | 'unknown';

export type WeightsOrder = {
  upstream: string;
  address: string;
  model: string;
  version: number;
  fencing: number;
  holder: string;
  /** The order takes effect only if the upstream has accepted exactly this many orders before. */
  expectedAcceptedOrders: number;
};

export type TargetVersionsChanged<Type extends string> = {
  type: Type;
  /** Newest weight version of each model. */
  versions: Readonly<Record<string, number>>;
  /** The versions that are new here were named after this moment; before all time if that is unknown. */
  namedAfter: task.Instant;
};

export type RolloutsMessage =
  | taskLifecycle.LifecycleMessage
  | platform.PlatformAnswered
  | { type: 'rollouts.members-changed'; names: readonly string[] }
  | TargetVersionsChanged<'rollouts.target-versions-changed'>
  | { type: 'rollouts.upstreams-changed'; upstreams: readonly inputs.Upstream[] }
  | {
      type: 'rollouts.stores-changed';
      stores: readonly gateway.ContextStore[];
      obsoleteParts: readonly inputs.ObsoleteParts[];
    }
  | { type: 'rollouts.status-answered'; upstream: string; answer: RolloutStatusAnswer }
  | { type: 'rollouts.order-answered'; upstream: string; answer: WeightsOrderAnswer }
  | { type: 'rollouts.tick' }
  | { type: 'rollouts.lease-tick' };

/** Messages to the task that sends orders to upstreams. */
export type OrderSenderMessage =
  | taskLifecycle.LifecycleMessage
  | { type: 'carrier.query-status'; upstream: string; address: string; delayMs: number }
  | { type: 'carrier.send-order'; order: WeightsOrder };
