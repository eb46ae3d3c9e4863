/**
 * Computes the waves of a rollout: the upstreams that load new weights now, and those that are next.
 * Every instance computes them from the versions that it sees, so all avoid both waves without
 * coordination, and the next wave drains while the current one loads.
 */
import type * as task from '../kernel/task.js';
import * as rendezvous from '../membership/rendezvous.js';
import * as targets from './targets.js';

/** Share of a model's upstreams in one wave; twice as many are out of use at a time. */
const WAVE_SHARE = 0.15;
/** The same for many upstreams, where smaller waves still end in time and leave more for requests. */
const LARGE_WAVE_SHARE = 0.1;
const LARGE_UPSTREAM_COUNT = 30;
/**
 * Share of the time for a rollout after which waves grow. Orders that are lost or carried out late keep
 * their upstreams in the wave, and the others must not wait behind them.
 */
const GROWTH_START_SHARE = 0.4;
/** Share of the time by which all upstreams that are left are in one wave. */
const GROWTH_END_SHARE = 0.75;

export type Candidate = { id: string; version: number };
export type Waves = { current: readonly string[]; next: readonly string[] };

/** `rolloutMs`: time from the naming of a version until no request may begin on older ones. */
export type Moment = { now: task.Instant; rolloutMs: number };

/** Returns the ids of both waves, chosen from all upstreams in service of one model. */
export function chooseWaves(
  model: string,
  target: targets.Target,
  all: readonly Candidate[],
  moment: Moment,
): Waves {
  const behind = all.filter(({ version }) => version < target.version);
  const leastShare = all.length > LARGE_UPSTREAM_COUNT ? LARGE_WAVE_SHARE : WAVE_SHARE;
  const share = leastShare + (1 - leastShare) * growth(target, behind, moment);
  const size = Math.max(1, Math.round(all.length * share));
  const ids = behind.map(({ id }) => id);
  const chosen = rendezvous.selectTop(`${model}/${target.version}`, ids, 2 * size);
  return { current: chosen.slice(0, size), next: chosen.slice(size) };
}

/** How far waves have grown, from 0 to 1. */
function growth(
  target: targets.Target,
  behind: readonly Candidate[],
  { now, rolloutMs }: Moment,
): number {
  const lowest = Math.min(...behind.map(({ version }) => version));
  const elapsedShare = targets.elapsedMs(target, lowest, now) / rolloutMs;
  const grown = (elapsedShare - GROWTH_START_SHARE) / (GROWTH_END_SHARE - GROWTH_START_SHARE);
  return Math.min(1, Math.max(0, grown));
}
