/**
 * The wave of a rollout: the upstreams that take new weights next. Every instance works it out from
 * what it sees of the versions, so new work keeps away from the wave without any message.
 */
import * as rendezvous from '../membership/rendezvous.js';

/** Share of a model's upstreams that take weights at once: the others carry the load meanwhile. */
const WAVE_SHARE = 0.25;

export type Candidate = { id: string; version: number };

/** The ids of the wave, of all upstreams of one model that are in service. */
export function wave(model: string, version: number, all: readonly Candidate[]): readonly string[] {
  const behind = all.filter((each) => each.version < version).map(({ id }) => id);
  const size = Math.max(1, Math.ceil(all.length * WAVE_SHARE));
  return rendezvous.choose(`${model}/${version}`, behind, size);
}
