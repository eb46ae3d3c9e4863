/** How long work that an upstream has already keeps a new request waiting. */
import type * as routes from '../gateway/routes.js';
import * as peerWork from './peer-work.js';
import type * as placement from './placement.js';
import * as readRate from './read-rate.js';
import * as telling from './telling.js';
import type * as upstreams from './upstream.js';

/**
 * Instances that do not tell of their work choose as this one does. Own work stands for this share of
 * what all of them would send: with less, all rush to an upstream that has just come free.
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

/** Work ahead: at an engine what it has to read and runs, at a plain upstream the slots in use. */
export function queueMs(view: placement.View, upstream: upstreams.Upstream): number {
  const { load, listed, latencyMs, underWay } = upstream;
  if (view.service.engine) return engineQueueMs(view, upstream, view.service.engine);
  const told = underWay.size + upstream.peerWork.requests;
  const running = Math.max(told, telling.unheard(view.state) === 0 ? 0 : (load?.running ?? 0));
  const perRequestMs = latencyMs ?? WAITING_MS;
  const waiting = load?.waiting ?? 0;
  return (running / Math.max(1, listed.slots)) * perRequestMs + waiting * WAITING_MS;
}

/** Time until an engine has read what it was sent; the peers' notes are newer than its own figures. */
export function engineWaitMs(
  view: placement.View,
  upstream: upstreams.Upstream,
  { contextTokens }: routes.Engine,
): number {
  const all = peerWork.sum([telling.ownWork(upstream), upstream.peerWork]);
  const excessTokens = Math.max(0, all.promptTokens - contextTokens * MEMORY_SHARE);
  const readingMs = unreadTokens(view, upstream) / readRate.of(view.state, view.service.name);
  return readingMs + (excessTokens / contextTokens) * FULL_MEMORY_MS;
}

/** Tokens that are to be read there, with those of instances that do not tell. */
export function unreadTokens({ state }: placement.View, upstream: upstreams.Upstream): number {
  const factor = Math.max(1, (telling.unheard(state) + 1) * OTHERS_SHARE);
  const own = telling.ownWork(upstream);
  return own.unreadTokens * factor + upstream.peerWork.unreadTokens;
}

function engineQueueMs(
  view: placement.View,
  upstream: upstreams.Upstream,
  engine: routes.Engine,
): number {
  const { underWay, peerWork: others, load } = upstream;
  const { running = 0, waiting = 0 } = telling.unheard(view.state) > 0 ? (load ?? {}) : {};
  return (
    engineWaitMs(view, upstream, engine) +
    Math.max(running, underWay.size + others.requests) * RUNNING_MS +
    waiting * WAITING_MS
  );
}
