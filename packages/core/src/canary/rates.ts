/** Rates of the old version, and how much more likely the new one's responses are if it is worse. */
import type * as canary from './types.js';

export type Frequency = { hits: number; of: number };

/**
 * A response is slow above this quantile of the old version's latencies and half an octave more. Being
 * several times as slow makes more than a quarter more responses slow, even if latencies vary a lot.
 */
const SLOW_QUANTILE = 0.75;
const BINS_ABOVE_QUANTILE = 2;
/** By how much more responses fail, or are slow, in a fault of both versions. */
const FAULT_INCREASE = 0.05;
const MIN_FAULT_HITS = 3;
const MAX_RATE = 0.9;

export function failuresOf({ failures, responses }: canary.Counts): Frequency {
  return { hits: failures, of: responses };
}

/** Responses from a bin of latencies on. */
export function slowOf({ latencies }: canary.Counts, slowFrom: number): Frequency {
  return { hits: sumOf(latencies.slice(slowFrom)), of: sumOf(latencies) };
}

/** The first bin whose responses are slow. */
export function slowBin({ latencies }: canary.Counts): number {
  const bound = sumOf(latencies) * SLOW_QUANTILE;
  const found = latencies.reduce(
    ({ below, bin }, count, at) =>
      below >= bound ? { below, bin } : { below: below + count, bin: at },
    { below: 0, bin: 0 },
  );
  return found.bin + BINS_ABOVE_QUANTILE;
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, each) => sum + each, 0);
}

export function plus(one: Frequency, other: Frequency): Frequency {
  return { hits: one.hits + other.hits, of: one.of + other.of };
}

/** Whether the old version's newest responses show a fault, which most likely affects both versions. */
export function isFault(usual: Frequency, latest: Frequency): boolean {
  const atLeast = rateOf(latest) - 2 * errorOf(latest);
  return latest.hits >= MIN_FAULT_HITS && atLeast > rateOf(usual) + errorOf(usual) + FAULT_INCREASE;
}

/**
 * The old version's rate now: the usual one raised by its standard error, but at most what its newest
 * responses allow, since a fault of both versions would hide those of the new one for some time. While
 * such a fault shows, the newest responses count, with their error.
 */
export function nullRate(usual: Frequency, beside: Frequency, latest: Frequency): number {
  const expected = rateOf(usual) + errorOf(usual);
  const newest = [beside, latest].filter((each) => rateOf(each) - errorOf(each) > expected);
  const atMost = rateOf(beside) + 2 * errorOf(beside);
  const rates = newest.map((each) => rateOf(each) + errorOf(each));
  return Math.min(MAX_RATE, Math.max(Math.min(expected, atMost), ...rates));
}

function rateOf({ hits, of }: Frequency): number {
  return (hits + 0.5) / (of + 1);
}

function errorOf(frequency: Frequency): number {
  const rate = rateOf(frequency);
  return Math.sqrt((rate * (1 - rate)) / (frequency.of + 1));
}

/** Log-likelihood ratio of the responses: the rate increased by so much, against the rate itself. */
export function logRatio({ hits, of }: Frequency, rate: number, increase: number): number {
  const alternative = Math.min(0.98, rate + increase);
  const perHit = Math.log(alternative / rate);
  const perMiss = Math.log((1 - alternative) / (1 - rate));
  return hits * perHit + (of - hits) * perMiss;
}
