/** How long work that an upstream has already keeps a new request waiting. */
import type * as routes from '../gateway/routes.js';
import * as peerWork from './peer-work.js';
import type * as placement from './placement.js';
import * as readRate from './read-rate.js';
import type * as fleet from './state.js';
import * as telling from './telling.js';
import type * as upstreams from './upstream.js';

/**
 * Where no peer tells of its work, all are taken to choose as this instance does, with this share of
 * what that would amount to: with less, all rush to an upstream that has just come free.
 */
const OTHERS_SHARE = 0.7;
/** Each request that an engine runs: some of them are still being read. */
const RUNNING_MS = 12;
/** Each request that waits at an engine or at a plain upstream. */
const WAITING_MS = 25;
/** Share of an engine's memory that prompts under way fill before further ones have to wait. */
const MEMORY_SHARE = 0.85;
/** How long a whole memory of prompts takes to finish. */
const FULL_MEMORY_MS = 800;

/** Work of all instances at an upstream: those that tell stand for those that do not. */
export function estimate(state: fleet.State, upstream: upstreams.Upstream): peerWork.Work {
  const own = telling.ownWork(upstream);
  const heard = state.peerWork.size;
  if (heard === 0) return peerWork.times(own, Math.max(1, state.members.length * OTHERS_SHARE));
  const share = 1 + telling.unheard(state) / heard;
  return peerWork.sum([own, peerWork.times(upstream.peerWork, share)]);
}

/** What a new request meets at an upstream. */
export type Queue = {
  /** Tokens that are to be read before its own. */
  unreadTokens: number;
  /** Until an engine has read what it was sent, and has memory for more; nothing at a plain upstream. */
  waitMs: number;
  /** What the queue adds to the cost of the upstream. */
  costMs: number;
};

export function at(view: placement.View, upstream: upstreams.Upstream): Queue {
  const ahead = estimate(view.state, upstream);
  const { unreadTokens } = ahead;
  const { engine } = view.service;
  if (!engine) return { unreadTokens, waitMs: 0, costMs: plainCostMs(upstream) };
  const waitMs = engineWaitMs(view, ahead, engine);
  return { unreadTokens, waitMs, costMs: waitMs + engineLoadMs(view, upstream, ahead) };
}

/** The slots in use. */
function plainCostMs({
  load,
  listed,
  latencyMs,
  underWay,
  peerWork: others,
}: upstreams.Upstream): number {
  const running = Math.max(underWay.size + others.requests, load?.running ?? 0);
  const perRequestMs = latencyMs ?? WAITING_MS;
  const waiting = load?.waiting ?? 0;
  return (running / Math.max(1, listed.slots)) * perRequestMs + waiting * WAITING_MS;
}

function engineWaitMs(
  { state, service }: placement.View,
  { unreadTokens, promptTokens }: peerWork.Work,
  { contextTokens }: routes.Engine,
): number {
  const excessTokens = Math.max(0, promptTokens - contextTokens * MEMORY_SHARE);
  const readingMs = unreadTokens / readRate.of(state, service.name);
  return readingMs + (excessTokens / contextTokens) * FULL_MEMORY_MS;
}

/** What an engine told of its load is old by some requests; the peers' notes are newer. */
function engineLoadMs(
  { state }: placement.View,
  { load }: upstreams.Upstream,
  { requests }: peerWork.Work,
): number {
  const { running = 0, waiting = 0 } = state.peerWork.size === 0 ? (load ?? {}) : {};
  return Math.max(running, requests) * RUNNING_MS + waiting * WAITING_MS;
}
