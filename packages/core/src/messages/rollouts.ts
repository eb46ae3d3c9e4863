/** Messages to the task that brings upstreams to the newest weights. */
import type * as gateway from '../gateway/routes.js';
import type * as view from '../rollouts/view.js';
import type * as life from './life.js';
import type * as platform from './platform.js';

/** What an upstream says of itself. */
export type Report = {
  /** Orders that it has accepted. */
  accepted: number;
  isBusy: boolean;
  models: readonly { model: string; version: number }[];
};

export type ReportAnswer =
  { kind: 'report'; report: Report } | { kind: 'no-report'; reason: string };

/** `fenced-off`: a holder with a higher fencing token was there. */
export type OrderAnswer =
  | 'accepted'
  | 'already-done'
  | 'conflict'
  | 'fenced-off'
  | 'wrong-upstream'
  | 'refused'
  | 'unknown';

export type Order = {
  upstream: string;
  address: string;
  model: string;
  version: number;
  fencing: number;
  holder: string;
  /** The order takes effect only if the upstream has accepted just this many before. */
  expectedAccepted: number;
};

export type RolloutsMessage =
  | life.TaskMessage
  | platform.PlatformAnswered
  | { type: 'rollouts.named'; versions: Readonly<Record<string, number>> }
  | { type: 'rollouts.upstreams'; upstreams: readonly view.RolledUpstream[] }
  | { type: 'rollouts.stores'; stores: readonly gateway.ContextStore[]; held: readonly view.Held[] }
  | { type: 'rollouts.reported'; upstream: string; answer: ReportAnswer }
  | { type: 'rollouts.ordered'; upstream: string; answer: OrderAnswer }
  | { type: 'rollouts.wake' }
  | { type: 'rollouts.lease-wake' };

/** To the task that carries orders to upstreams. */
export type OrderCarrierMessage =
  | life.TaskMessage
  | { type: 'carrier.report'; upstream: string; address: string; delayMs: number }
  | { type: 'carrier.order'; order: Order };
