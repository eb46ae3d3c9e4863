/** Updates what is known of a service's mix from the prompts that this instance places. */
import type * as placement from '../fleet/placement.js';
import * as promptPrefill from '../fleet/prompt-prefill.js';
import type * as fleet from '../fleet/state.js';
import * as totalWork from '../fleet/total-work.js';
import type * as upstreams from '../fleet/upstream.js';
import type * as task from '../kernel/task.js';
import * as sizes from './sizes.js';
import * as states from './state.js';
import * as work from './work.js';

/**
 * Over this time the prompts in flight at an upstream are averaged: longer than the answers of most, so
 * that a preference does not follow single requests.
 */
const LEVEL_MS = 6_000;
/** Over this time the prompts with a shared part are counted; an instance sees few a second. */
const PART_COUNT_MS = 30_000;
/** Shorter observations say nothing about a rate. */
const MIN_OBSERVED_MS = 1_000;
/** Limit of the shared parts counted for a service. */
const MAX_PARTS = 256;
/** Weight of the newest sample in the means over prompts of a kind; about twenty make up the mean. */
const SMOOTHING_WEIGHT = 0.05;

/** Counts a new prompt, and returns the mix of its service. */
export function recordPrompt({
  state,
  service,
  placementRequest,
  now,
}: placement.Inputs): states.Mix {
  const { monotonicMs: nowMs } = now;
  const mix = state.promptMixes.get(service.name) ?? states.create(nowMs);
  state.promptMixes.set(service.name, mix);
  const part = sharedPartOf(placementRequest);
  if (placementRequest.isRepeat) return mix;
  sizes.record(mix.sizes, promptPrefill.promptTokens(placementRequest));
  if (part === undefined) return mix;
  const value = countAt(mix.parts.get(part), nowMs) + 1;
  mix.parts.delete(part);
  mix.parts.set(part, { value, atMs: nowMs });
  if (mix.parts.size > MAX_PARTS) {
    const [oldest = ''] = mix.parts.keys();
    mix.parts.delete(oldest);
  }
  return mix;
}

/** The last part that other prompts may share; undefined without one. */
export function sharedPartOf({ prompt }: placement.Request): string | undefined {
  return prompt?.parts.at(-2)?.id;
}

function countAt(count: states.Count | undefined, nowMs: number): number {
  return count ? count.value * states.keptShare(nowMs - count.atMs, PART_COUNT_MS) : 0;
}

/** Prompts with a shared part that all instances send per ms, if the others receive as many as this one. */
export function partPerMs(mix: states.Mix, part: string, instances: number, nowMs: number): number {
  const observedMs = Math.max(MIN_OBSERVED_MS, nowMs - mix.sinceMs);
  const spanMs = PART_COUNT_MS * (1 - states.keptShare(observedMs, PART_COUNT_MS));
  return (countAt(mix.parts.get(part), nowMs) / spanMs) * Math.max(1, instances);
}

/** Updates the mean numbers of prompts in flight, from own work and that of peers. */
export function recordLevels(state: fleet.State, { monotonicMs: nowMs }: task.Instant): void {
  state.promptMixes.forEach((mix, service) => {
    const { boundary } = mix.sizes;
    if (!boundary) return;
    const weight = 1 - states.keptShare(nowMs - mix.levelsAtMs, LEVEL_MS);
    const levels = [...state.registry.upstreams.values()]
      .filter(({ registration }) => registration.service === service)
      .map((upstream) => levelOf(state, mix, upstream, boundary, weight));
    const inFlight = {
      short: levels.reduce((sum, [, { short }]) => sum + short, 0),
      long: levels.reduce((sum, [, { long }]) => sum + long, 0),
    };
    Object.assign(mix, { levels: new Map(levels), levelsAtMs: nowMs, inFlight });
  });
}

function levelOf(
  state: fleet.State,
  { levels }: states.Mix,
  upstream: upstreams.Upstream,
  boundary: sizes.Boundary,
  weight: number,
): [string, states.Level] {
  const { id } = upstream.registration;
  const found = work.split(totalWork.of(state, upstream), boundary);
  const known = levels.get(id) ?? found;
  return [
    id,
    {
      short: states.smoothed(known.short, found.short, weight),
      long: states.smoothed(known.long, found.long, weight),
    },
  ];
}

/** Records the end of an answered attempt. */
export function recordEnd(
  { promptMixes }: fleet.State,
  { registration }: upstreams.Upstream,
  { startedAtMs, promptTokens, tokensToRead }: upstreams.InFlightRequest,
  now: task.Instant,
): void {
  const mix = promptMixes.get(registration.service);
  const boundary = mix?.sizes.boundary;
  if (!mix || !boundary || promptTokens === 0) return;
  const means = mix.means[sizes.kindOf(boundary, promptTokens)];
  const tookMs = now.monotonicMs - startedAtMs;
  Object.assign(means, {
    residenceMs: states.smoothed(means.residenceMs, tookMs, SMOOTHING_WEIGHT),
    unreadTokens: states.smoothed(means.unreadTokens, tokensToRead, SMOOTHING_WEIGHT),
  });
}
