/**
 * Where a prompt goes and what happens with its context there: the replica and the plan (reuse,
 * import of a prefix, recompute of the rest) with the least cost, which weighs expected time to
 * first token and recomputed context as the service's configuration says.
 */
import type * as schema from '../configuration/schema.js';
import * as keptContext from '../kept-context/index.js';
import * as links from '../links/index.js';
import * as load from '../load/index.js';
import type * as messages from '../messages/index.js';
import * as candidates from './candidates.js';
import * as eligibility from './eligibility.js';
import * as queueDelay from './queue-delay.js';

/** One-way delay between data centres, doubled for the way back. */
export const CROSS_DATA_CENTRE_RTT_MS = 3;
/** What a disk tier reads, beside the link's own rate. */
const DISK_BYTES_PER_S = 3_000_000_000;
/** The longest that an import may take, as a multiple of the recomputation that it saves. */
const MAX_IMPORT_TIME_FACTOR = 1.5;

/** One prompt, and what every candidate needs to know of it. */
type Prompt = {
  outline: messages.PromptOutline;
  priority: schema.Priority;
  weights: schema.ModelService['weights'];
  storeMatches: readonly StoreMatch[];
};

/** The manifests that one store has of the prompt, by position, and where runs of them end. */
type StoreMatch = {
  store: schema.Store;
  manifests: readonly (keptContext.Manifest | undefined)[];
  /** Expected time until the link is free for this prompt. */
  linkQueueMs: number;
  pieceTransferMs: number;
};

type Costed = { placement: messages.Placement; cost: number };

/** Places a prompt, over the candidates that can win. */
export function placePrompt(
  views: queueDelay.Inputs,
  outline: messages.PromptOutline,
): messages.PlacementDecision {
  const prompt = describe(views, outline);
  const chosen = candidates.choose(views, outline, prompt.priority);
  const costed = chosen.map((upstream) => placeAt(views, upstream, prompt));
  const best = costed.reduce<Costed | undefined>(
    (least, each) => (least && least.cost <= each.cost ? least : each),
    undefined,
  );
  if (!best) return noUpstream(outline.service);
  const shown = costed
    .map(({ placement: { upstream, expectedFirstTokenMs } }) => ({
      upstream,
      expectedFirstTokenMs,
    }))
    .sort((a, b) => a.expectedFirstTokenMs - b.expectedFirstTokenMs)
    .slice(0, MAX_CANDIDATES_SHOWN);
  return { kind: 'placed', placement: best.placement, candidates: shown };
}

const MAX_CANDIDATES_SHOWN = 4;

const EVEN_WEIGHTS = { firstToken: 1, recompute: 1 };

function describe(views: queueDelay.Inputs, outline: messages.PromptOutline): Prompt {
  const { configuration } = views;
  const service = configuration.services.find(({ name }) => name === outline.service);
  const weights = service?.kind === 'model' ? service.weights : EVEN_WEIGHTS;
  const priority = service?.priority ?? 'normal';
  const stored = configuration.stores
    .filter(({ presence }) => presence === 'in')
    .map((store) => findStored(views, store, outline, priority))
    .filter(({ manifests }) => manifests.some((manifest) => manifest !== undefined));
  return { outline, priority, weights, storeMatches: stored };
}

function findStored(
  views: queueDelay.Inputs,
  store: schema.Store,
  outline: messages.PromptOutline,
  priority: schema.Priority,
): StoreMatch {
  const index = views.directory.stores.get(store.name);
  const usable = index && !index.isSilent ? index.manifests : undefined;
  const pieceBytes = keptContext.PIECE_TOKENS * views.configuration.limits.contextBytesPerToken;
  const { monotonicMs } = views.now;
  const expected = (bytes: number) =>
    links.estimateImportMs(views.links, store.name, priority, bytes, monotonicMs);
  const backlogMs = expected(0);
  return {
    store,
    manifests: outline.pieces.map((piece) => usable?.get(piece)),
    linkQueueMs: backlogMs,
    pieceTransferMs: expected(pieceBytes) - backlogMs,
  };
}

/** The cheapest way to serve the prompt at one upstream. */
function placeAt(views: queueDelay.Inputs, upstream: schema.Upstream, prompt: Prompt): Costed {
  const { outline } = prompt;
  const reuse = keptContext.directory.countCachedPrefix(
    views.directory,
    upstream.name,
    outline.pieces,
  );
  const recompute = costOf(views, upstream, prompt, reuse, { importMs: 0, imports: [] });
  return prompt.storeMatches
    .flatMap((stored) => listImportOptions(views, stored, reuse))
    .map((prefix) => costOf(views, upstream, prompt, reuse, prefix))
    .reduce((least, each) => (least.cost <= each.cost ? least : each), recompute);
}

/** Pieces to import from one store, and the expected time of that. */
type ImportOption = {
  importMs: number;
  imports: readonly keptContext.Manifest[];
  storeAddress?: string;
};

/**
 * The prefixes that can be best: all pieces up to a change of tier, where the time for a piece
 * changes, and all that the store has.
 */
function listImportOptions(
  views: queueDelay.Inputs,
  stored: StoreMatch,
  reuse: number,
): readonly ImportOption[] {
  const found: ImportOption[] = [];
  const imports: keptContext.Manifest[] = [];
  let importMs = stored.linkQueueMs;
  for (let at = reuse; at < stored.manifests.length; at += 1) {
    const { [at]: manifest } = stored.manifests;
    if (!manifest) break;
    imports.push(manifest);
    importMs += stored.pieceTransferMs + tierMs(views, manifest.tier);
    const next = stored.manifests[at + 1];
    if (next?.tier !== manifest.tier) {
      found.push({ importMs, imports: [...imports], storeAddress: stored.store.address });
    }
  }
  return found;
}

function tierMs(views: queueDelay.Inputs, tier: keptContext.Tier): number {
  const bytes = keptContext.PIECE_TOKENS * views.configuration.limits.contextBytesPerToken;
  return tier === 'disk' ? (bytes / DISK_BYTES_PER_S) * 1_000 : 0;
}

function costOf(
  views: queueDelay.Inputs,
  upstream: schema.Upstream,
  prompt: Prompt,
  reuse: number,
  prefix: ImportOption,
): Costed {
  const { outline, weights } = prompt;
  const held = (reuse + prefix.imports.length) * keptContext.PIECE_TOKENS;
  const prefillMs = estimatePrefillMs(upstream, outline.promptTokens - held);
  const queueMs = queueDelay.estimateMs(views, upstream, prompt.priority);
  const distanceMs = upstream.dataCentre === views.ownDataCentre ? 0 : CROSS_DATA_CENTRE_RTT_MS;
  // The queue moves on while the import is under way.
  const expectedFirstTokenMs = distanceMs + Math.max(queueMs, prefix.importMs) + prefillMs;
  const savedMs = estimatePrefillMs(upstream, prefix.imports.length * keptContext.PIECE_TOKENS);
  const placement: messages.Placement = {
    upstream: upstream.name,
    reusePieces: reuse,
    imports: prefix.imports,
    storeAddress: prefix.storeAddress ?? '',
    expectedFirstTokenMs,
    importTimeoutMs: queueMs + savedMs * importTimeFactor(weights),
  };
  const cost = weights.firstToken * expectedFirstTokenMs + weights.recompute * prefillMs;
  return { placement, cost };
}

/** Later than this multiple of recomputing, an import costs more than it saves. */
function importTimeFactor({ firstToken, recompute }: schema.ModelService['weights']): number {
  return Math.min(MAX_IMPORT_TIME_FACTOR, 1 + recompute / Math.max(firstToken, Number.EPSILON));
}

export function estimatePrefillMs(upstream: schema.Upstream, tokens: number): number {
  return (Math.max(0, tokens) / upstream.prefillTokensPerS) * 1_000;
}

/** Places a call of a plain service: least work ahead for each slot, own data centre first. */
export function placeCall(
  views: queueDelay.Inputs,
  service: string,
  excluded: readonly string[],
): messages.PlacementDecision {
  const costed = eligibility.listInPreferenceOrder(views, service, excluded).map((upstream) => ({
    upstream: upstream.name,
    expectedFirstTokenMs:
      (load.requestsAhead(views.load, upstream) / upstream.slots) * queueDelay.EXPECTED_REQUEST_MS +
      (upstream.dataCentre === views.ownDataCentre ? 0 : CROSS_DATA_CENTRE_RTT_MS),
  }));
  const best = costed.reduce<messages.Candidate | undefined>(
    (least, each) =>
      least && least.expectedFirstTokenMs <= each.expectedFirstTokenMs ? least : each,
    undefined,
  );
  if (!best) return noUpstream(service);
  const placement = { ...best, reusePieces: 0, imports: [], storeAddress: '' };
  return { kind: 'placed', placement, candidates: costed.slice(0, MAX_CANDIDATES_SHOWN) };
}

const RETRY_AFTER_MS = 1_000;

function noUpstream(service: string): messages.PlacementDecision {
  return {
    kind: 'refused',
    failure: { code: 'noUpstream', detail: `no upstream of ${service} takes work now` },
    retryAfterMs: RETRY_AFTER_MS,
  };
}
