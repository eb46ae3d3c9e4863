/**
 * Places a prompt: selects the replica and the plan for its context (reuse, import of a prefix,
 * recompute of the rest) with the lowest cost. The cost adds expected time to first token and
 * recomputation, with the weights in the service's configuration.
 */
import type * as schema from '../configuration/schema.js';
import * as keptContext from '../kept-context/index.js';
import * as links from '../links/index.js';
import * as load from '../load/index.js';
import type * as messages from '../messages/index.js';
import * as candidates from './candidates.js';
import * as eligibility from './eligibility.js';
import * as queueDelay from './queue-delay.js';

/** Round trip between data centres: the one-way delay, doubled. */
export const CROSS_DATA_CENTRE_RTT_MS = 3;
/** Read rate of a disk tier; its read time is added to the transfer time on the link. */
const DISK_BYTES_PER_S = 3_000_000_000;
/** Upper bound of an import's duration, as a multiple of the recomputation time that it saves. */
const MAX_IMPORT_TIME_FACTOR = 1.5;

/** One prompt, with the inputs that are the same for every candidate. */
type Prompt = {
  outline: messages.PromptOutline;
  priority: schema.Priority;
  weights: schema.ModelService['weights'];
  storeMatches: readonly StoreMatch[];
};

/** One store's manifests for the prompt, by position, and the expected times on its link. */
type StoreMatch = {
  store: schema.Store;
  manifests: readonly (keptContext.Manifest | undefined)[];
  /** Expected time until the link is free for this prompt. */
  linkQueueMs: number;
  pieceTransferMs: number;
};

type CostedPlacement = { placement: messages.Placement; cost: number };

/** Places a prompt on the candidate with the lowest cost. */
export function placePrompt(
  inputs: queueDelay.Inputs,
  outline: messages.PromptOutline,
): messages.PlacementDecision {
  const prompt = describe(inputs, outline);
  const chosen = candidates.choose(inputs, outline, prompt.priority);
  const costed = chosen.map((upstream) => placeAt(inputs, upstream, prompt));
  const best = costed.reduce<CostedPlacement | undefined>(
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

const DEFAULT_WEIGHTS = { firstToken: 1, recompute: 1 };

function describe(inputs: queueDelay.Inputs, outline: messages.PromptOutline): Prompt {
  const { configuration } = inputs;
  const service = configuration.services.find(({ name }) => name === outline.service);
  const weights = service?.kind === 'model' ? service.weights : DEFAULT_WEIGHTS;
  const priority = service?.priority ?? 'normal';
  const storeMatches = configuration.stores
    .filter(({ presence }) => presence === 'in')
    .map((store) => matchStore(inputs, store, outline, priority))
    .filter(({ manifests }) => manifests.some((manifest) => manifest !== undefined));
  return { outline, priority, weights, storeMatches };
}

function matchStore(
  inputs: queueDelay.Inputs,
  store: schema.Store,
  outline: messages.PromptOutline,
  priority: schema.Priority,
): StoreMatch {
  const index = inputs.directory.stores.get(store.name);
  const usable = index && !index.isSilent ? index.manifests : undefined;
  const pieceBytes = keptContext.PIECE_TOKENS * inputs.configuration.limits.contextBytesPerToken;
  const { monotonicMs } = inputs.now;
  const estimateMs = (bytes: number) =>
    links.estimateImportMs(inputs.links, store.name, priority, bytes, monotonicMs);
  const linkQueueMs = estimateMs(0);
  return {
    store,
    manifests: outline.pieces.map((piece) => usable?.get(piece)),
    linkQueueMs,
    pieceTransferMs: estimateMs(pieceBytes) - linkQueueMs,
  };
}

/** Returns the plan with the lowest cost for the prompt at one upstream. */
function placeAt(
  inputs: queueDelay.Inputs,
  upstream: schema.Upstream,
  prompt: Prompt,
): CostedPlacement {
  const { outline } = prompt;
  const reuse = keptContext.directory.countCachedPrefix(
    inputs.directory,
    upstream.name,
    outline.pieces,
  );
  const recompute = costOf(inputs, upstream, prompt, reuse, { importMs: 0, imports: [] });
  return prompt.storeMatches
    .flatMap((stored) => listImportOptions(inputs, stored, reuse))
    .map((prefix) => costOf(inputs, upstream, prompt, reuse, prefix))
    .reduce((least, each) => (least.cost <= each.cost ? least : each), recompute);
}

/** Pieces to import from one store, and the expected time until they have arrived. */
type ImportOption = {
  importMs: number;
  imports: readonly keptContext.Manifest[];
  storeAddress?: string;
};

/**
 * Returns the prefixes that can have the lowest cost: those that end at a change of tier, where the
 * time per piece changes, and the longest one that the store holds.
 */
function listImportOptions(
  inputs: queueDelay.Inputs,
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
    importMs += stored.pieceTransferMs + tierMs(inputs, manifest.tier);
    const next = stored.manifests[at + 1];
    if (next?.tier !== manifest.tier) {
      found.push({ importMs, imports: [...imports], storeAddress: stored.store.address });
    }
  }
  return found;
}

function tierMs(inputs: queueDelay.Inputs, tier: keptContext.Tier): number {
  const bytes = keptContext.PIECE_TOKENS * inputs.configuration.limits.contextBytesPerToken;
  return tier === 'disk' ? (bytes / DISK_BYTES_PER_S) * 1_000 : 0;
}

function costOf(
  inputs: queueDelay.Inputs,
  upstream: schema.Upstream,
  prompt: Prompt,
  reuse: number,
  prefix: ImportOption,
): CostedPlacement {
  const { outline, weights } = prompt;
  const presentTokens = (reuse + prefix.imports.length) * keptContext.PIECE_TOKENS;
  const prefillMs = estimatePrefillMs(upstream, outline.promptTokens - presentTokens);
  const queueMs = queueDelay.estimateMs(inputs, upstream, prompt.priority);
  const distanceMs = upstream.dataCentre === inputs.ownDataCentre ? 0 : CROSS_DATA_CENTRE_RTT_MS;
  // Requests ahead proceed during the import, so the longer of the two waits counts.
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

/** Returns the multiple of recomputation time beyond which an import costs more than it saves. */
function importTimeFactor({ firstToken, recompute }: schema.ModelService['weights']): number {
  return Math.min(MAX_IMPORT_TIME_FACTOR, 1 + recompute / Math.max(firstToken, Number.EPSILON));
}

export function estimatePrefillMs(upstream: schema.Upstream, tokens: number): number {
  return (Math.max(0, tokens) / upstream.prefillTokensPerS) * 1_000;
}

/** Places a call of a plain service: least work ahead per slot, preferring the own data centre. */
export function placeCall(
  inputs: queueDelay.Inputs,
  service: string,
  excluded: readonly string[],
): messages.PlacementDecision {
  const costed = eligibility.listInPreferenceOrder(inputs, service, excluded).map((upstream) => ({
    upstream: upstream.name,
    expectedFirstTokenMs:
      (load.requestsAhead(inputs.load, upstream) / upstream.slots) *
        queueDelay.EXPECTED_REQUEST_MS +
      (upstream.dataCentre === inputs.ownDataCentre ? 0 : CROSS_DATA_CENTRE_RTT_MS),
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
