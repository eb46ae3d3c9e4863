/**
 * Selects the upstreams that a placement compares. In a large deployment what an instance knows of the
 * work of others is older than it takes to serve a request. If all instances compared all upstreams,
 * they would send everything to the few that were idle when that knowledge was gathered. So each
 * request compares a few upstreams of its own, as in the power of two choices (Mitzenmacher, 2001).
 */
import * as rendezvous from '../membership/rendezvous.js';
import type * as placement from './placement.js';
import * as upstreams from './upstream.js';

/** The first upstreams by affinity, which most likely hold the context of the request. */
const SAMPLE_SIZE = 2;
/** Faults of the last seconds, as a decayed score, above which an upstream is only used if all have them. */
const MAX_FAULT_SCORE = 1;

/** `isInWave`: whether the upstream is about to load new weights. */
export function select(
  { state, now }: placement.Inputs,
  available: readonly upstreams.Upstream[],
  affinityKey: string,
  isInWave: (id: string) => boolean,
): readonly upstreams.Upstream[] {
  if (state.sharing === 'with-all') return available;
  const sound = available.filter(
    (each) =>
      !isInWave(each.registration.id) &&
      each.backoffUntilMs <= now.monotonicMs &&
      upstreams.currentFaultScore(each, now.monotonicMs) < MAX_FAULT_SCORE,
  );
  const pool = sound.length >= SAMPLE_SIZE ? sound : available;
  const ids = pool.map(({ registration }) => registration.id);
  const chosen = new Set(rendezvous.selectTop(affinityKey, ids, SAMPLE_SIZE));
  return pool.filter(({ registration }) => chosen.has(registration.id));
}
