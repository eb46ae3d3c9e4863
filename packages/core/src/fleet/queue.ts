/** How long work that an upstream has already keeps a new request waiting. */
import type * as routes from '../gateway/routes.js';
import * as peerWork from './peer-work.js';
import type * as placement from './placement.js';
import * as prefillRate from './prefill-rate.js';
import type * as fleet from './state.js';
import * as peerUpdates from './peer-updates.js';
import type * as upstreams from './upstream.js';

/**
 * Where no peer tells of its work, all are taken to choose as this instance does, with this share of
 * what that would amount to: with less, all rush to an upstream that has just come free.
 */
const OTHERS_SHARE = 0.7;
/** Each request that an engine runs: some of them are still being read. */
const RUNNING_REQUEST_COST_MS = 12;
/** Each request that waits at an engine or at a plain upstream. */
const WAITING_REQUEST_COST_MS = 25;
/** Share of an engine's memory that prompts under way fill before further ones have to wait. */
const MEMORY_SHARE = 0.85;
/** How long a whole memory of prompts takes to finish. */
const FULL_MEMORY_WAIT_MS = 800;

/** Work of all instances at an upstream: those that tell stand for those that do not. */
export function totalWork(state: fleet.State, upstream: upstreams.Upstream): peerWork.InFlightWork {
  const own = peerUpdates.ownWork(upstream);
  const heard = state.peerWork.size;
  if (heard === 0) return peerWork.scale(own, Math.max(1, state.members.length * OTHERS_SHARE));
  const share = 1 + peerUpdates.unreportedPeers(state) / heard;
  return peerWork.sum([own, peerWork.scale(upstream.peerWork, share)]);
}

/** What a new request meets at an upstream. */
export type Estimate = {
  /** Tokens that are to be read before its own. */
  unreadTokens: number;
  /** Until an engine has read what it was sent, and has memory for more; nothing at a plain upstream. */
  waitMs: number;
  /** What the queue adds to the cost of the upstream. */
  costMs: number;
};

export function estimate(view: placement.Inputs, upstream: upstreams.Upstream): Estimate {
  const ahead = totalWork(view.state, upstream);
  const { unreadTokens } = ahead;
  const { engine } = view.service;
  if (!engine) return { unreadTokens, waitMs: 0, costMs: plainCostMs(upstream) };
  const waitMs = engineWaitMs(view, ahead, engine);
  return { unreadTokens, waitMs, costMs: waitMs + engineLoadMs(view, upstream, ahead) };
}

/** The slots in use. */
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
  const excessTokens = Math.max(0, promptTokens - cacheCapacityTokens * MEMORY_SHARE);
  const readingMs = unreadTokens / prefillRate.tokensPerMs(state, service.name);
  return readingMs + (excessTokens / cacheCapacityTokens) * FULL_MEMORY_WAIT_MS;
}

/** What an engine told of its load is old by some requests; the peers' notes are newer. */
function engineLoadMs(
  { state }: placement.Inputs,
  { reportedLoad }: upstreams.Upstream,
  { requests }: peerWork.InFlightWork,
): number {
  const { running = 0, waiting = 0 } = state.peerWork.size === 0 ? (reportedLoad ?? {}) : {};
  return Math.max(running, requests) * RUNNING_REQUEST_COST_MS + waiting * WAITING_REQUEST_COST_MS;
}
