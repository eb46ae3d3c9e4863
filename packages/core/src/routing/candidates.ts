/**
 * Selects the upstreams to cost for a prompt: those that hold its longest prefixes, and the least
 * busy of a sample. No other replica can have the lowest cost, however large the fleet is.
 */
import type * as schema from '../configuration/schema.js';
import * as keptContext from '../kept-context/index.js';
import * as load from '../load/index.js';
import type * as messages from '../messages/index.js';
import * as eligibility from './eligibility.js';
import * as queueDelay from './queue-delay.js';

const MAX_PREFIX_HOLDERS = 16;
/** Replicas examined for a short queue. The sample differs per prompt, so that instances spread. */
const SAMPLE_SIZE = 48;
const LEAST_BUSY = 8;
const HASH_BASE = 131;
const HASH_PRIME = 2_147_483_647;

/** Returns the upstreams to cost, those that hold a prefix of the prompt first. */
export function choose(
  inputs: queueDelay.Inputs,
  outline: messages.PromptOutline,
  priority: schema.Priority,
): readonly schema.Upstream[] {
  const { service, pieces } = outline;
  const all = inputs.fleet.byService.get(service) ?? [];
  const holders = keptContext.directory.longestHolders(
    inputs.directory,
    pieces,
    MAX_PREFIX_HOLDERS,
  );
  const sampled = sampleOf(all, outline.requestId).filter(({ name }) => !holders.has(name));
  const holderUpstreams = [...holders].flatMap((name) => inputs.fleet.byName.get(name) ?? []);
  const eligible = load.orderByTwoChoices(
    inputs.load,
    eligibleOf(inputs, outline, [...holderUpstreams, ...sampled]),
  );
  const others = eligible.filter(({ name }) => !holders.has(name));
  if (others.length < LEAST_BUSY && all.length > eligible.length) return listAll(inputs, outline);
  const waits = others
    .map((upstream) => ({ upstream, waitMs: queueDelay.estimateMs(inputs, upstream, priority) }))
    .sort((a, b) => a.waitMs - b.waitMs);
  return [
    ...eligible.filter(({ name }) => holders.has(name)),
    ...waits.slice(0, LEAST_BUSY).map(({ upstream }) => upstream),
  ];
}

/** Returns all eligible upstreams; the fallback when too few of the sample are eligible. */
function listAll(
  inputs: queueDelay.Inputs,
  outline: messages.PromptOutline,
): readonly schema.Upstream[] {
  return eligibility.listInPreferenceOrder(inputs, outline.service, outline.excluded);
}

/** Returns those of the given upstreams that are eligible for new work. */
function eligibleOf(
  inputs: queueDelay.Inputs,
  { service, excluded }: messages.PromptOutline,
  upstreams: readonly schema.Upstream[],
): readonly schema.Upstream[] {
  const configuration = { ...inputs.configuration, upstreams: [...upstreams] };
  return eligibility.listUpstreams({ ...inputs, configuration }, service, excluded);
}

/** Returns consecutive upstreams, from a position that is derived from the request id. */
function sampleOf(all: readonly schema.Upstream[], requestId: string): readonly schema.Upstream[] {
  const start = all.length === 0 ? 0 : hashOf(requestId) % all.length;
  const size = Math.min(SAMPLE_SIZE, all.length);
  return Array.from({ length: size }, (_, at) => all[(start + at) % all.length]).filter(
    (upstream) => upstream !== undefined,
  );
}

/** Polynomial hash of the text, modulo a prime below 2^31. */
function hashOf(text: string): number {
  let hash = 7;
  for (let at = 0; at < text.length; at += 1) {
    hash = (hash * HASH_BASE + text.charCodeAt(at)) % HASH_PRIME;
  }
  return hash;
}
