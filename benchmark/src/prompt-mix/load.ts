/** The sites and the loads of the benchmark: figures from the page of the work on contended load. */
import * as randomness from '../models/randomness.js';
import type * as engines from './engine.js';

export type Site = {
  name: string;
  engines: number;
  instances: number;
  memoryTokens: number;
  tokensPerMs: number;
  /** Short requests a second over all instances. */
  shortPerS: number;
  /** Rise and fall of the rate, as a share of it, and the period. */
  swing: number;
  swingPeriodMs: number;
  /** Constant factors on the duration of steps, in turn. */
  factors: readonly number[];
  /** Engines are `factor` times as slow for a `share` of the time, in episodes of this length. */
  episodes: { share: number; factor: number; lastsMs: number } | undefined;
  sharedParts: Readonly<Record<engines.Kind, number>>;
};

/** Shared parts of prompts in use for each kind are assumed; the page does not name them. */
export const SITES = {
  hpc: {
    name: 'hpc',
    engines: 42,
    instances: 110,
    memoryTokens: 90_494,
    tokensPerMs: 61.2,
    shortPerS: 308,
    swing: 0.55,
    swingPeriodMs: 13_000,
    factors: [1],
    episodes: { share: 1 / 7, factor: 2.5, lastsMs: 600 },
    sharedParts: { short: 24, long: 12 },
  },
  khreitat: {
    name: 'khreitat',
    engines: 63,
    instances: 87,
    memoryTokens: 119_206,
    tokensPerMs: 101,
    shortPerS: 308,
    swing: 0.27,
    swingPeriodMs: 11_000,
    factors: [1, 1, 1.3],
    episodes: undefined,
    sharedParts: { short: 24, long: 12 },
  },
} as const satisfies Record<string, Site>;

export type Size = {
  sharedTokens: number;
  ownTokens: number;
  outputTokens: readonly [number, number];
  targetMs: number;
  deadlineMs: number;
  rank: number;
};

export const SIZES: Readonly<Record<engines.Kind, Size>> = {
  short: {
    sharedTokens: 1_861,
    ownTokens: 507,
    outputTokens: [3, 3],
    targetMs: 450,
    deadlineMs: 2_750,
    rank: 0,
  },
  long: {
    sharedTokens: 9_122,
    ownTokens: 2_870,
    outputTokens: [42, 48],
    targetMs: 1_100,
    deadlineMs: 13_500,
    rank: 5,
  },
};

export type Arrival = {
  id: string;
  atMs: number;
  instance: number;
  kind: engines.Kind;
  shared: string;
  outputTokens: number;
};

/** Callers arrive in bursts of this many. */
const BURST = 3;
const BURST_SPREAD_MS = 20;

/** Arrivals without the long ones keep the short ones' times. */
export function arrivals(
  site: Site,
  longPerS: number,
  lastsMs: number,
  seed: number,
): readonly Arrival[] {
  const short = arrivalsOf(site, 'short', site.shortPerS, lastsMs, randomness.create(seed));
  if (longPerS === 0) return short;
  return [...short, ...arrivalsOf(site, 'long', longPerS, lastsMs, randomness.create(seed + 1))];
}

function arrivalsOf(
  site: Site,
  kind: engines.Kind,
  perS: number,
  lastsMs: number,
  random: randomness.Randomness,
): readonly Arrival[] {
  const found: Arrival[] = [];
  const size = SIZES[kind];
  const meanMs = (1_000 * BURST) / perS;
  for (let atMs = 0; atMs < lastsMs;) {
    const swing = 1 + site.swing * Math.sin((2 * Math.PI * atMs) / site.swingPeriodMs);
    atMs += random.exponential(meanMs / swing);
    for (let each = 0; each < BURST; each += 1) {
      const part = Math.floor(random.share() ** 1.5 * site.sharedParts[kind]);
      const [least, most] = size.outputTokens;
      found.push({
        id: `${kind}-${found.length}`,
        atMs: atMs + random.between(0, BURST_SPREAD_MS),
        instance: Math.floor(random.share() * site.instances),
        kind,
        shared: `${kind}-part-${part}`,
        outputTokens: Math.round(random.between(least, most)),
      });
    }
  }
  return found;
}

/** The factor on the duration of a step of one engine at a time. */
export function slowdown(site: Site, engine: number, seed: number): (nowMs: number) => number {
  const constant = site.factors[engine % site.factors.length] ?? 1;
  const { episodes } = site;
  if (!episodes) return () => constant;
  const random = randomness.create(seed + engine);
  const periods: boolean[] = [];
  return (nowMs) => {
    const at = Math.floor(nowMs / episodes.lastsMs);
    while (periods.length <= at) periods.push(random.share() < episodes.share);
    return constant * (periods[at] ? episodes.factor : 1);
  };
}
