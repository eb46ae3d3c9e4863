/** Estimates how long work already at an upstream delays a new request. */
import type * as routes from '../gateway/routes.js';
import * as peerWork from './peer-work.js';
import type * as placement from './placement.js';
import * as prefillRate from './prefill-rate.js';
import type * as fleet from './state.js';
import * as peerUpdates from './peer-updates.js';
import type * as upstreams from './upstream.js';

/**
 * Without any peer updates, all members are assumed to choose as this instance does, and this share of
 * the resulting work is counted. With a lower share, all instances rush to an upstream that has just
 * become free.
 */
const UNREPORTED_SHARE = 0.7;
/** Cost of each request that an engine runs; the prompts of some are still being read. */
const RUNNING_REQUEST_COST_MS = 12;
/** Cost of each request that waits at an engine or at an upstream without one. */
const WAITING_REQUEST_COST_MS = 25;
/** Share of an engine's KV cache that prompts in flight may fill before further ones have to wait. */
const CACHE_FILL_SHARE = 0.85;
/** Time until a full KV cache of prompts has finished. */
const FULL_CACHE_WAIT_MS = 800;

/** Work of all instances at an upstream, extrapolated from the peers that report to those that do not. */
export function totalWork(state: fleet.State, upstream: upstreams.Upstream): peerWork.InFlightWork {
  const own = peerUpdates.ownWork(upstream);
  const peers = peerUpdates.reportedPeers(state);
  if (peers <= 0) return peerWork.scale(own, Math.max(1, state.members.length * UNREPORTED_SHARE));
  const share = 1 + peerUpdates.unreportedPeers(state) / peers;
  return peerWork.sum([own, peerWork.scale(upstream.peerWork, share)]);
}

/** Work ahead of a new request at an upstream. */
export type Estimate = {
  /** Tokens that the upstream reads before those of the new request. */
  unreadTokens: number;
  /** Time until an engine has read its queued prompts and has KV cache for more; 0 at an upstream without one. */
  waitMs: number;
  /** Share of the upstream's cost that is due to the queue. */
  costMs: number;
};

export function estimate(inputs: placement.Inputs, upstream: upstreams.Upstream): Estimate {
  const { engine } = inputs.service;
  const ahead = withoutReadMeanwhile(inputs, upstream, totalWork(inputs.state, upstream));
  const { unreadTokens } = ahead;
  if (!engine) return { unreadTokens, waitMs: 0, costMs: plainCostMs(upstream) };
  const waitMs = engineWaitMs(inputs, ahead, engine);
  return { unreadTokens, waitMs, costMs: waitMs + engineLoadMs(inputs, upstream, ahead) };
}

/**
 * What a reader tells is some hundred milliseconds old, and the engine has read on since. Own work is
 * known exactly.
 */
function withoutReadMeanwhile(
  { state, service, now }: placement.Inputs,
  upstream: upstreams.Upstream,
  total: peerWork.InFlightWork,
): peerWork.InFlightWork {
  if (state.sharing === 'with-all') return total;
  const heardAtMs = Math.max(...[...state.peerWork.values()].map((each) => each.receivedAtMs));
  if (!Number.isFinite(heardAtMs)) return total;
  const readTokens = (now.monotonicMs - heardAtMs) * prefillRate.tokensPerMs(state, service.name);
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
  { state, service }: placement.Inputs,
  { unreadTokens, promptTokens }: peerWork.InFlightWork,
  { cacheCapacityTokens }: routes.Engine,
): number {
  const excessTokens = Math.max(0, promptTokens - cacheCapacityTokens * CACHE_FILL_SHARE);
  const readingMs = unreadTokens / prefillRate.tokensPerMs(state, service.name);
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
