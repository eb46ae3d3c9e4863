/**
 * The waves of a rollout: the upstreams that take new weights now, and those that are next. Every
 * instance works them out from what it sees of the versions, so new work keeps away from both without
 * any message, and those that are next run dry while the others load.
 */
import * as rendezvous from '../membership/rendezvous.js';

/** Share of a model's upstreams in one wave: twice as many are out of use at a time. */
const WAVE_SHARE = 0.15;

export type Candidate = { id: string; version: number };
export type Waves = { current: readonly string[]; next: readonly string[] };

/** The ids of both waves, of all upstreams of one model that are in service. */
export function chooseWaves(model: string, version: number, all: readonly Candidate[]): Waves {
  const behind = all.filter((each) => each.version < version).map(({ id }) => id);
  const size = Math.max(1, Math.round(all.length * WAVE_SHARE));
  const chosen = rendezvous.selectTop(`${model}/${version}`, behind, 2 * size);
  return { current: chosen.slice(0, size), next: chosen.slice(size) };
}
