/** Expected queueing delay of plain work, at an upstream that serves a few requests at once. */
import type * as placement from '../fleet/placement.js';
import * as totalWork from '../fleet/total-work.js';
import type * as upstreams from '../fleet/upstream.js';
import * as serviceModel from './service-model.js';
import * as state from './state.js';
import type * as types from './types.js';
import * as upstreamModel from './upstream-model.js';

export type Wait = { waitMs: number; errorMs: number };

/**
 * Part of a Poisson variable's standard deviation: instances choose the upstreams with fewer requests, so
 * the numbers differ less.
 */
const DEVIATION_SHARE = 0.5;

/** Requests at an upstream, and their standard deviation. */
type Occupancy = { requests: number; deviation: number };

/**
 * The wait for one of `slots` servers. Requests in flight are known from this instance and its peers; the
 * reported load is exact when it is sent and tells nothing any more once its requests have been served.
 */
export function plainWait(inputs: placement.Inputs, upstream: upstreams.Upstream): Wait {
  const slots = Math.max(1, upstream.registration.slots);
  const nowMs = inputs.now.monotonicMs;
  const servedMs = plainServedMs(inputs, upstream);
  const total = totalWork.of(inputs.state, upstream);
  const occupancy = blend(upstream, { slots, servedMs, inFlight: total.requests, nowMs });
  const { queued, deviation } = expectedQueue(occupancy, slots);
  const perRequestMs = servedMs / slots;
  return { waitMs: queued * perRequestMs, errorMs: deviation * perRequestMs };
}

/** Weighs the reported load, corrected by own requests begun since, against the requests in flight. */
function blend(
  { reportedLoad, speed, inFlight: own }: upstreams.Upstream,
  known: { slots: number; servedMs: number; inFlight: number; nowMs: number },
): Occupancy {
  const { slots, servedMs, inFlight, nowMs } = known;
  // Requests of peers arrive and end independently, so their number varies as a Poisson variable's.
  const independent = Math.max(0, inFlight - own.size);
  if (!reportedLoad || servedMs <= 0) {
    return { requests: inFlight, deviation: DEVIATION_SHARE * Math.sqrt(independent) };
  }
  const reported = reportedLoad.running + reportedLoad.waiting;
  const renewedMs = servedMs * Math.max(1, reported / slots);
  const share = Math.exp(-Math.max(0, nowMs - speed.loadAtMs) / renewedMs);
  const begun = [...own.values()].filter(({ startedAtMs }) => startedAtMs > speed.loadAtMs).length;
  return {
    requests: share * (reported + begun) + (1 - share) * inFlight,
    deviation: DEVIATION_SHARE * Math.sqrt((1 - share) * independent),
  };
}

/**
 * Requests that have to end before a new one is served: the mean of the positive part of a normal
 * variable.
 */
function expectedQueue(
  { requests, deviation }: Occupancy,
  slots: number,
): { queued: number; deviation: number } {
  const excess = requests - slots + 1;
  if (deviation <= 0) return { queued: Math.max(0, excess), deviation: 0 };
  const at = excess / deviation;
  const density = Math.exp((-at * at) / 2) / Math.sqrt(2 * Math.PI);
  return { queued: Math.max(0, excess * normalShare(at) + deviation * density), deviation };
}

/** The normal distribution function, by a logistic approximation with an error below 0.0002. */
function normalShare(at: number): number {
  return 1 / (1 + Math.exp(-1.595_769_1 * at - 0.072_942 * at ** 3));
}

/** Time that plain work takes at the upstream without a queue; 0 before the first answer. */
export function plainServedMs(
  { state: fleetState, service, now }: placement.Inputs,
  { speed }: upstreams.Upstream,
): number {
  const model = state.serviceModelOf(fleetState, service.name);
  const factor = upstreamModel.factor(model, speed, now.monotonicMs);
  return serviceModel.levelMs(model.plainWork) * Math.exp(factor);
}

/** What an attempt at plain work is expected to take until its answer. */
export function plainForecast(
  inputs: placement.Inputs,
  upstream: upstreams.Upstream,
): types.Forecast {
  const { waitMs } = plainWait(inputs, upstream);
  return { kind: 'plain', expectedMs: waitMs + plainServedMs(inputs, upstream), waitMs };
}
