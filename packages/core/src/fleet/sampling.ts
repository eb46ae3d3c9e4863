/**
 * Selects the upstreams that a placement compares. In a large deployment what an instance knows of the
 * work of others is older than it takes to serve a request. If all instances compared all upstreams,
 * they would send everything to the few that were idle when that knowledge was gathered. So each
 * request compares a few upstreams of its own, as in the power of two choices (Mitzenmacher, 2001).
 */
import * as rendezvous from '../membership/rendezvous.js';
import type * as promptMix from '../prompt-mix/index.js';
import * as results from '../results/index.js';
import type * as placement from './placement.js';
import * as upstreams from './upstream.js';

/** The first upstreams by affinity, which most likely hold the context of the request. */
const SAMPLE_SIZE = 2;
/** Faults of the last seconds, as a decayed score, above which an upstream is only used if all have them. */
const MAX_FAULT_SCORE = 1;

/** The upstreams without recent faults, if there are some. `isInWave`: about to load new weights. */
export function sound(
  { state, now }: placement.Inputs,
  available: readonly upstreams.Upstream[],
  isInWave: (id: string) => boolean,
): readonly upstreams.Upstream[] {
  if (state.sharing === 'with-all') return available;
  const found = available.filter(
    (each) =>
      !isInWave(each.registration.id) &&
      each.backoffUntilMs <= now.monotonicMs &&
      upstreams.currentFaultScore(each, now.monotonicMs) < MAX_FAULT_SCORE,
  );
  return found.length >= SAMPLE_SIZE ? found : available;
}

/**
 * The upstreams to compare; the next of these sets is compared only if all in the ones before it are full,
 * or, for a long prompt, occupied by another one.
 */
export function select(
  { state, placementRequest }: placement.Inputs,
  plan: promptMix.plan.Plan,
  available: readonly upstreams.Upstream[],
  pool: readonly upstreams.Upstream[],
): readonly (readonly upstreams.Upstream[])[] {
  const among = (chosen: ReadonlySet<string>) =>
    pool.filter(({ registration }) => chosen.has(registration.id));
  const isAllKnown = state.sharing === 'with-all';
  switch (plan.kind) {
    case 'alike': {
      if (isAllKnown) return [available];
      const ids = pool.map(({ registration }) => registration.id);
      const key = affinityKey(placementRequest);
      return [among(new Set(rendezvous.selectTop(key, ids, SAMPLE_SIZE))), available];
    }
    case 'short':
    case 'long': {
      const further = among(plan.preferred.further);
      return isAllKnown ? [further, available] : [among(plan.preferred.first), further, available];
    }
    default:
      return results.assertNever(plan);
  }
}

/** The last shared part of the prompt; requests without one have no affinity. */
export function affinityKey({ prompt, requestId }: placement.Request): string {
  return prompt?.parts.at(-2)?.id ?? requestId;
}
