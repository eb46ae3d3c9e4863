/**
 * Where a prompt goes: to the replica where queue, import and prefill together take least time,
 * not to the one with the most cache.
 */
import type * as schema from '../configuration/schema.js';
import * as keptContext from '../kept-context/index.js';
import * as load from '../load/index.js';
import type * as messages from '../messages/index.js';
import * as eligible from './eligible.js';

/** Expected time that a request ahead in the queue takes, until it has been measured. */
export const REQUEST_AHEAD_MS = 400;
/** One-way delay between data centres, doubled for the way back. */
export const CROSS_CENTRE_MS = 3;

/** The cheapest way to serve the prompt at one upstream. */
export function placeAt(
  views: eligible.Views,
  upstream: schema.Upstream,
  outline: messages.PromptOutline,
): messages.Placement {
  const ahead = load.requestsAhead(views.load, upstream);
  const waitMs = Math.max(0, ahead + 1 - upstream.slots) * (REQUEST_AHEAD_MS / upstream.slots);
  const distanceMs = upstream.dataCentre === views.ownDataCentre ? 0 : CROSS_CENTRE_MS;
  const reuse = keptContext.directory.cachedPieces(views.directory, upstream.name, outline.pieces);
  const baseMs = waitMs + distanceMs;
  const recomputeMs = prefillMs(upstream, outline.promptTokens - reuse * keptContext.PIECE_TOKENS);
  const recompute: messages.Placement = {
    upstream: upstream.name,
    reusePieces: reuse,
    imports: [],
    storeAddress: '',
    expectedFirstTokenMs: baseMs + recomputeMs,
  };
  const imports = views.configuration.stores
    .filter(({ presence }) => presence === 'in')
    .map((store) => importFrom(views, store, upstream, outline, reuse, baseMs));
  return cheapest([recompute, ...imports]) ?? recompute;
}

function importFrom(
  views: eligible.Views,
  store: schema.Store,
  upstream: schema.Upstream,
  outline: messages.PromptOutline,
  reuse: number,
  baseMs: number,
): messages.Placement {
  const { directory, configuration } = views;
  const imports = keptContext.directory.storedPieces(directory, store.name, outline.pieces, reuse);
  const held = (reuse + imports.length) * keptContext.PIECE_TOKENS;
  const tokens = imports.length * keptContext.PIECE_TOKENS;
  const bytes = tokens * configuration.limits.contextBytesPerToken;
  const importMs = (bytes / store.linkBytesPerS) * 1_000;
  const restMs = prefillMs(upstream, outline.promptTokens - held);
  return {
    upstream: upstream.name,
    reusePieces: reuse,
    imports,
    storeAddress: store.address,
    expectedFirstTokenMs: baseMs + importMs + restMs,
  };
}

function prefillMs(upstream: schema.Upstream, tokens: number): number {
  return (Math.max(0, tokens) / upstream.prefillTokensPerS) * 1_000;
}

export function cheapest(
  placements: readonly messages.Placement[],
): messages.Placement | undefined {
  return placements.reduce<messages.Placement | undefined>(
    (best, each) => (best && best.expectedFirstTokenMs <= each.expectedFirstTokenMs ? best : each),
    undefined,
  );
}

/** Places a prompt over all eligible upstreams. */
export function placePrompt(views: eligible.Views, outline: messages.PromptOutline): messages.Plan {
  const upstreams = eligible.upstreamsOf(views, outline.service, outline.excluded);
  const placements = upstreams.map((upstream) => placeAt(views, upstream, outline));
  const best = cheapest(placements);
  if (!best) return noUpstream(outline.service);
  const candidates = placements
    .map(({ upstream, expectedFirstTokenMs }) => ({ upstream, expectedFirstTokenMs }))
    .sort((a, b) => a.expectedFirstTokenMs - b.expectedFirstTokenMs)
    .slice(0, MAX_CANDIDATES_SHOWN);
  return { kind: 'placed', placement: best, candidates };
}

const MAX_CANDIDATES_SHOWN = 4;
const RETRY_AFTER_MS = 1_000;

/** Places a call of a plain service: least work ahead for each slot, own data centre first. */
export function placeCall(
  views: eligible.Views,
  service: string,
  excluded: readonly string[],
): messages.Plan {
  const costed = eligible.upstreamsOf(views, service, excluded).map((upstream) => ({
    upstream: upstream.name,
    expectedFirstTokenMs:
      (load.requestsAhead(views.load, upstream) / upstream.slots) * REQUEST_AHEAD_MS +
      (upstream.dataCentre === views.ownDataCentre ? 0 : CROSS_CENTRE_MS),
  }));
  const placement = cheapest(
    costed.map((each) => ({ ...each, reusePieces: 0, imports: [], storeAddress: '' })),
  );
  if (!placement) return noUpstream(service);
  return { kind: 'placed', placement, candidates: costed.slice(0, MAX_CANDIDATES_SHOWN) };
}

function noUpstream(service: string): messages.Plan {
  return {
    kind: 'refused',
    failure: { code: 'noUpstream', detail: `no upstream of ${service} takes work now` },
    retryAfterMs: RETRY_AFTER_MS,
  };
}
