/**
 * Which upstreams are worth costing for a prompt: those with the longest prefix of it, and the
 * least busy of a sample. A replica that is neither cannot win, however many there are.
 */
import type * as schema from '../configuration/schema.js';
import * as keptContext from '../kept-context/index.js';
import * as load from '../load/index.js';
import type * as messages from '../messages/index.js';
import * as eligibility from './eligibility.js';
import * as queueDelay from './queue-delay.js';

const MAX_HOLDERS = 16;
/** Replicas looked at for a short queue; another few for each prompt, so that instances spread. */
const SAMPLE = 48;
const LEAST_BUSY = 8;
const HASH_BASE = 131;
const HASH_PRIME = 2_147_483_647;

export function choose(
  views: queueDelay.Inputs,
  outline: messages.PromptOutline,
  priority: schema.Priority,
): readonly schema.Upstream[] {
  const { service, pieces } = outline;
  const all = views.fleet.byService.get(service) ?? [];
  const holders = keptContext.directory.longestHolders(views.directory, pieces, MAX_HOLDERS);
  const sampled = sampleOf(all, outline.requestId).filter(({ name }) => !holders.has(name));
  const holding = [...holders].flatMap((name) => views.fleet.byName.get(name) ?? []);
  const able = load.orderByTwoChoices(
    views.load,
    availableOf(views, outline, [...holding, ...sampled]),
  );
  const others = able.filter(({ name }) => !holders.has(name));
  if (others.length < LEAST_BUSY && all.length > able.length) return allOf(views, outline);
  const waits = others
    .map((upstream) => ({ upstream, waitMs: queueDelay.estimateMs(views, upstream, priority) }))
    .sort((a, b) => a.waitMs - b.waitMs);
  return [
    ...able.filter(({ name }) => holders.has(name)),
    ...waits.slice(0, LEAST_BUSY).map(({ upstream }) => upstream),
  ];
}

/** Few of the sample take work: then all that do are looked at. */
function allOf(
  views: queueDelay.Inputs,
  outline: messages.PromptOutline,
): readonly schema.Upstream[] {
  return eligibility.listInPreferenceOrder(views, outline.service, outline.excluded);
}

/** Those of the upstreams that may be given new work. */
function availableOf(
  views: queueDelay.Inputs,
  { service, excluded }: messages.PromptOutline,
  upstreams: readonly schema.Upstream[],
): readonly schema.Upstream[] {
  const configuration = { ...views.configuration, upstreams: [...upstreams] };
  return eligibility.listUpstreams({ ...views, configuration }, service, excluded);
}

/** A run of neighbours from a place that the request's id picks. */
function sampleOf(able: readonly schema.Upstream[], requestId: string): readonly schema.Upstream[] {
  const start = able.length === 0 ? 0 : hashOf(requestId) % able.length;
  const size = Math.min(SAMPLE, able.length);
  return Array.from({ length: size }, (_, at) => able[(start + at) % able.length]).filter(
    (upstream) => upstream !== undefined,
  );
}

/** A polynomial hash of the text, modulo a prime below 2^31. */
function hashOf(text: string): number {
  let hash = 7;
  for (let at = 0; at < text.length; at += 1) {
    hash = (hash * HASH_BASE + text.charCodeAt(at)) % HASH_PRIME;
  }
  return hash;
}
