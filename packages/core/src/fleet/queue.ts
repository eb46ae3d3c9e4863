/** Estimates how long work already at an upstream delays a new request. */
import type * as routes from '../gateway/routes.js';
import * as loadControl from '../load-control/index.js';
import * as speed from '../speed/index.js';
import type * as peerWork from './peer-work.js';
import type * as placement from './placement.js';
import * as prefillRate from './prefill-rate.js';
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
  /** The unread tokens of this instance, and those that peers told of when they sent their updates. */
  ownTokens: number;
  peerTokens: number;
  /** Tokens that peers have unread on average; 0 if nothing is predicted. */
  usualPeerTokens: number;
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
  const work = totalWork.withOwn(state, upstream);
  const ahead = withoutReadMeanwhile(inputs, work, tokensPerMs);
  const { unreadTokens, requests } = ahead;
  const known = {
    ...tokensAhead(work),
    usualPeerTokens: 0,
    unreadTokens,
    requests,
    tokensPerMs,
    blockedMs: 0,
    isPredicted: false,
  };
  if (!engine) return { ...known, waitMs: 0, costMs: plainCostMs(upstream) };
  const waitMs = engineWaitMs(ahead, engine, tokensPerMs);
  return { ...known, waitMs, costMs: waitMs + engineLoadMs(inputs, upstream, ahead) };
}

function tokensAhead({ own, total }: totalWork.Work): Pick<Estimate, 'ownTokens' | 'peerTokens'> {
  const { unreadTokens: ownTokens } = own;
  return { ownTokens, peerTokens: Math.max(0, total.unreadTokens - ownTokens) };
}

function predict(inputs: placement.Inputs, upstream: upstreams.Upstream): Estimate {
  const { state, service, now } = inputs;
  const { tokensPerMs, errorShare } = speed.readingRate(state, service.name, upstream, now);
  const work = totalWork.withOwn(state, upstream);
  const { total } = work;
  const { requests } = total;
  const ahead = tokensAhead(work);
  const peerTokensAt = (each: upstreams.Upstream) =>
    tokensAhead(totalWork.withOwn(state, each)).peerTokens;
  const usualPeerTokens = service.engine ? speed.usualPeerTokens(inputs, peerTokensAt) : 0;
  const peers = { peerTokens: ahead.peerTokens, usualPeerTokens };
  const unreadTokens = ahead.ownTokens + speed.effectiveTokens(inputs, peers);
  const known = {
    ...ahead,
    usualPeerTokens,
    unreadTokens,
    requests,
    tokensPerMs,
    isPredicted: true,
  };
  if (!service.engine) {
    const { waitMs, errorMs } = speed.plainWait(inputs, upstream);
    const costMs = waitMs + speed.plainServedMs(inputs, upstream);
    return { ...known, waitMs: Math.max(0, waitMs - errorMs), blockedMs: 0, costMs };
  }
  const blockedMs = speed.residenceMs(inputs) * blockedShare(total, upstream, service.engine);
  const waitMs = unreadTokens / tokensPerMs + blockedMs;
  const costMs = waitMs + requests * speed.perRunningMs(inputs, upstream);
  // Only the part of the wait that is beyond the usual error refuses requests; a guess refuses none.
  const certainMs = errorShare < 1 ? waitMs * Math.exp(-errorShare) : 0;
  return { ...known, waitMs: certainMs, blockedMs, costMs };
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
function withoutReadMeanwhile(
  { state, now }: placement.Inputs,
  { own, total }: totalWork.Work,
  tokensPerMs: number,
): peerWork.InFlightWork {
  if (state.sharing === 'with-all') return total;
  const heardAtMs = Math.max(...[...state.peerWork.values()].map((each) => each.receivedAtMs));
  if (!Number.isFinite(heardAtMs)) return total;
  const readTokens = (now.monotonicMs - heardAtMs) * tokensPerMs;
  return { ...total, unreadTokens: Math.max(own.unreadTokens, total.unreadTokens - readTokens) };
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
