/** The deployments that are simulated: sizes, speeds and demand. */
import type * as randomness from '../models/randomness.js';

/** What engines say of their slowdown in the head of an answer. */
export type Reporting = 'honest' | 'none' | 'frozen';

export type Kind = { share: number; tokens: number; outputTokens: number; latencyTargetMs: number };

export type Scenario = {
  name: string;
  upstreams: number;
  instances: number;
  slots: number;
  service: 'prompts' | 'plain';
  tokensPerMs: number;
  cacheCapacityTokens: number;
  /** Constant factors of the upstreams, in turn. */
  factors: readonly number[];
  spells: { slowdown: number; share: number; lastsMs: number } | undefined;
  reporting: Reporting;
  /** Requests a second of all instances. */
  perS: number;
  /** Demand varies by this share, as a sine of this period. */
  variation: { share: number; periodMs: number };
  kinds: readonly Kind[];
};

const SHORT = { tokens: 2_368, outputTokens: 3, latencyTargetMs: 400 };
const LONG = { tokens: 11_992, outputTokens: 45, latencyTargetMs: 1_000 };
const KINDS: readonly Kind[] = [
  { share: 0.8, ...SHORT },
  { share: 0.2, ...LONG },
];

const SLOW_SPELLS: Scenario = {
  name: 'slow spells, reported',
  upstreams: 42,
  instances: 24,
  slots: 64,
  service: 'prompts',
  tokensPerMs: 61.2,
  cacheCapacityTokens: 90_494,
  factors: [1],
  spells: { slowdown: 2.5, share: 1 / 7, lastsMs: 600 },
  reporting: 'honest',
  perS: 170,
  variation: { share: 0.55, periodMs: 13_000 },
  kinds: KINDS,
};

export const ALL: readonly Scenario[] = [
  SLOW_SPELLS,
  { ...SLOW_SPELLS, name: 'slow spells, one frozen report', reporting: 'frozen' },
  {
    ...SLOW_SPELLS,
    name: 'constant factors',
    upstreams: 63,
    tokensPerMs: 101,
    cacheCapacityTokens: 119_206,
    factors: [1, 1, 1.3],
    spells: undefined,
    reporting: 'none',
    perS: 480,
    variation: { share: 0.27, periodMs: 11_000 },
  },
  {
    ...SLOW_SPELLS,
    name: 'plain service',
    upstreams: 4,
    slots: 6,
    service: 'plain',
    perS: 300,
    kinds: [{ share: 1, tokens: 0, outputTokens: 1, latencyTargetMs: 150 }],
  },
];

/** Slow spells of one upstream: periods that begin at independent times. */
export function spellsOf(
  { spells }: Scenario,
  random: randomness.Randomness,
  untilMs: number,
): (nowMs: number) => number {
  if (!spells) return () => 1;
  const { slowdown, share, lastsMs } = spells;
  const meanPauseMs = (lastsMs * (1 - share)) / share;
  const starts: number[] = [];
  for (let atMs = random.exponential(meanPauseMs); atMs < untilMs;) {
    starts.push(atMs);
    atMs += lastsMs + random.exponential(meanPauseMs);
  }
  // Times only increase, so earlier spells are not looked at again.
  const position = { at: 0 };
  return (nowMs) => {
    while ((starts[position.at] ?? Infinity) + lastsMs <= nowMs) position.at += 1;
    return nowMs >= (starts[position.at] ?? Infinity) ? slowdown : 1;
  };
}
