/** Estimates how long work already at an upstream delays a new request. */
import type * as routes from '../gateway/routes.js';
import * as loadControl from '../load-control/index.js';
import * as speed from '../speed/index.js';
import type * as peerWork from './peer-work.js';
import type * as placement from './placement.js';
import * as prefillRate from './prefill-rate.js';
import * as peerUpdates from './peer-updates.js';
import * as totalWork from './total-work.js';
import type * as upstreams from './upstream.js';

/** Cost of each request that an engine runs; the prompts of some are still being read. */
const RUNNING_REQUEST_COST_MS = 12;
/** Cost of each request that waits at an engine or at an upstream without one. */
const WAITING_REQUEST_COST_MS = 25;
/** Share of an engine's KV cache that prompts in flight may fill before further ones have to wait. */
const CACHE_FILL_SHARE = 0.85;
/** Time until a full KV cache of prompts has finished. */
const FULL_CACHE_WAIT_MS = 800;

export { of as totalWork } from './total-work.js';

/** Work ahead of a new request at an upstream. */
export type Estimate = {
  /** Tokens that the upstream reads before those of the new request. */
  unreadTokens: number;
  /** Requests of all instances at the upstream. */
  requests: number;
  /** Rate at which it reads prompts. */
  tokensPerMs: number;
  /**
   * Time until the upstream can begin with the request; without predictive load control, only that until
   * an engine has read its queued prompts and has KV cache for more.
   */
  waitMs: number;
  /** The part of it until a slot or KV cache is free, if it is predicted; else 0. */
  blockedMs: number;
  /** Share of the upstream's cost that is due to the queue, and to its speed if it is predicted. */
  costMs: number;
  /** Whether the estimate is a prediction from measured speeds; see `core/load-control`. */
  isPredicted: boolean;
};

export function estimate(inputs: placement.Inputs, upstream: upstreams.Upstream): Estimate {
  const { state, service } = inputs;
  if (loadControl.isPredictive(state, service.name)) return predict(inputs, upstream);
  const { engine } = service;
  const tokensPerMs = prefillRate.tokensPerMs(state, service.name);
  const ahead = workAhead(inputs, upstream, tokensPerMs);
  const { unreadTokens, requests } = ahead;
  const known = { unreadTokens, requests, tokensPerMs, blockedMs: 0, isPredicted: false };
  if (!engine) return { ...known, waitMs: 0, costMs: plainCostMs(upstream) };
  const waitMs = engineWaitMs(ahead, engine, tokensPerMs);
  return { ...known, waitMs, costMs: waitMs + engineLoadMs(inputs, upstream, ahead) };
}

function predict(inputs: placement.Inputs, upstream: upstreams.Upstream): Estimate {
  const { state, service, now } = inputs;
  const rate = speed.readingRate(state, service.name, upstream, now);
  const { tokensPerMs, errorShare } = rate;
  const ahead = workAhead(inputs, upstream, tokensPerMs);
  const { unreadTokens, requests } = ahead;
  const known = { unreadTokens, requests, tokensPerMs, isPredicted: true };
  if (!service.engine) {
    const { waitMs } = speed.plainWait(inputs, upstream);
    const costMs = waitMs + speed.plainServedMs(inputs, upstream);
    return { ...known, waitMs, blockedMs: 0, costMs };
  }
  const blockedMs = speed.residenceMs(inputs) * blockedShare(ahead, upstream, service.engine);
  const waitMs = unreadTokens / tokensPerMs + blockedMs;
  const costMs = waitMs + requests * speed.perRunningMs(inputs, upstream);
  // A rate that has not been measured yet may rank upstreams, but refuses nothing.
  return { ...known, waitMs: errorShare < 1 ? waitMs : 0, blockedMs, costMs };
}

/** What of the memory and of the slots in use has to become free first, as a share of all. */
function blockedShare(
  { promptTokens, requests }: peerWork.InFlightWork,
  { registration: { slots } }: upstreams.Upstream,
  { cacheCapacityTokens }: routes.Engine,
): number {
  const excessTokens = Math.max(0, promptTokens - cacheCapacityTokens * CACHE_FILL_SHARE);
  const excessRequests = Math.max(0, requests + 1 - slots);
  return Math.max(excessTokens / cacheCapacityTokens, excessRequests / Math.max(1, slots));
}

/**
 * What a reader tells is some hundred milliseconds old, and the engine has read on since. Own work is
 * known exactly.
 */
function workAhead(
  { state, now }: placement.Inputs,
  upstream: upstreams.Upstream,
  tokensPerMs: number,
): peerWork.InFlightWork {
  const total = totalWork.of(state, upstream);
  if (state.sharing === 'with-all') return total;
  const heardAtMs = Math.max(...[...state.peerWork.values()].map((each) => each.receivedAtMs));
  if (!Number.isFinite(heardAtMs)) return total;
  const readTokens = (now.monotonicMs - heardAtMs) * tokensPerMs;
  const own = peerUpdates.ownWork(upstream).unreadTokens;
  return { ...total, unreadTokens: Math.max(own, total.unreadTokens - readTokens) };
}

/** Cost of the slots in use and of waiting requests at an upstream without an engine. */
function plainCostMs({
  reportedLoad,
  registration,
  firstByteLatencyMs,
  inFlight,
  peerWork: others,
}: upstreams.Upstream): number {
  const running = Math.max(inFlight.size + others.requests, reportedLoad?.running ?? 0);
  const perRequestMs = firstByteLatencyMs ?? WAITING_REQUEST_COST_MS;
  const waiting = reportedLoad?.waiting ?? 0;
  return (
    (running / Math.max(1, registration.slots)) * perRequestMs + waiting * WAITING_REQUEST_COST_MS
  );
}

function engineWaitMs(
  { unreadTokens, promptTokens }: peerWork.InFlightWork,
  { cacheCapacityTokens }: routes.Engine,
  tokensPerMs: number,
): number {
  const excessTokens = Math.max(0, promptTokens - cacheCapacityTokens * CACHE_FILL_SHARE);
  const readingMs = unreadTokens / tokensPerMs;
  return readingMs + (excessTokens / cacheCapacityTokens) * FULL_CACHE_WAIT_MS;
}

/** The load that an engine reports lags by some requests; peer updates are newer and replace it. */
function engineLoadMs(
  { state }: placement.Inputs,
  { reportedLoad }: upstreams.Upstream,
  { requests }: peerWork.InFlightWork,
): number {
  const { running = 0, waiting = 0 } = state.peerWork.size === 0 ? (reportedLoad ?? {}) : {};
  return Math.max(running, requests) * RUNNING_REQUEST_COST_MS + waiting * WAITING_REQUEST_COST_MS;
}
