/**
 * Computes the waves of a rollout: the upstreams that load new weights now, and those that are next.
 * Every instance computes them from the versions that it sees, so all avoid both waves without
 * coordination, and the next wave drains while the current one loads.
 */
import * as rendezvous from '../membership/rendezvous.js';

/** Share of a model's upstreams in one wave; twice as many are out of use at a time. */
const WAVE_SHARE = 0.15;

export type Candidate = { id: string; version: number };
export type Waves = { current: readonly string[]; next: readonly string[] };

/** Returns the ids of both waves, chosen from all upstreams in service of one model. */
export function chooseWaves(model: string, version: number, all: readonly Candidate[]): Waves {
  const behind = all.filter((each) => each.version < version).map(({ id }) => id);
  const size = Math.max(1, Math.round(all.length * WAVE_SHARE));
  const chosen = rendezvous.selectTop(`${model}/${version}`, behind, 2 * size);
  return { current: chosen.slice(0, size), next: chosen.slice(size) };
}
