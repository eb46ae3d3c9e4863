/**
 * Which upstreams are worth costing for a prompt: those with the longest prefix of it, and the
 * least busy of a sample. A replica that is neither cannot win, however many there are.
 */
import type * as schema from '../configuration/schema.js';
import * as keptContext from '../kept-context/index.js';
import type * as messages from '../messages/index.js';
import * as eligible from './eligible.js';
import * as waiting from './waiting.js';

const MAX_HOLDERS = 16;
/** Replicas looked at for a short queue; another few for each prompt, so that instances spread. */
const SAMPLE = 48;
const LEAST_BUSY = 8;
const HASH_BASE = 131;
const HASH_PRIME = 2_147_483_647;

export function choose(
  views: waiting.Views,
  outline: messages.PromptOutline,
  priority: schema.Priority,
): readonly schema.Upstream[] {
  const able = eligible.upstreamsOf(views, outline.service, outline.excluded);
  if (able.length <= LEAST_BUSY) return able;
  const holders = keptContext.directory.longestHolders(
    views.directory,
    outline.pieces,
    MAX_HOLDERS,
  );
  const holding = able.filter(({ name }) => holders.has(name));
  const waits = sampleOf(able, outline.requestId)
    .filter(({ name }) => !holders.has(name))
    .map((upstream) => ({
      upstream,
      waitMs: waiting.waitMs(views, upstream, priority),
    }))
    .sort((a, b) => a.waitMs - b.waitMs);
  return [...holding, ...waits.slice(0, LEAST_BUSY).map(({ upstream }) => upstream)];
}

/** A run of neighbours from a place that the request's id picks. */
function sampleOf(able: readonly schema.Upstream[], requestId: string): readonly schema.Upstream[] {
  const start = hashOf(requestId) % able.length;
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
