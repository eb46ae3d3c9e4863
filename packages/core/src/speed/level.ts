/** Means of logarithms that follow tens of samples and bear outliers. */
import type * as types from './types.js';

/** Samples that a level is made of once there are enough; a level thus follows tens of requests. */
const WINDOW = 30;
/** Samples of an average over many senders, so that it follows them within some of their updates. */
export const MAX_AVERAGED = 300;

export const NONE: types.Level = { mean: 0, samples: 0 };

/**
 * Adds a sample. It moves the mean by at most `limit` times its share, so that a single outlier counts
 * little; the first sample sets a new level.
 */
export function add(
  { mean, samples }: types.Level,
  value: number,
  { weight, limit }: { weight: number; limit: number },
): types.Level {
  if (samples === 0) return { mean: value, samples: weight };
  const share = weight / (samples + weight);
  return {
    mean: mean + clamp(value - mean, limit) * share,
    samples: Math.min(WINDOW, samples + weight),
  };
}

/** The mean of several levels by their samples, drawn towards 0 by `prior` samples. */
export function combine(levels: readonly types.Level[], prior: number): types.Level {
  const samples = levels.reduce((sum, each) => sum + each.samples, 0);
  const total = levels.reduce((sum, each) => sum + each.mean * each.samples, 0);
  return { mean: samples + prior > 0 ? total / (samples + prior) : 0, samples };
}

export function clamp(value: number, limit: number): number {
  return Math.min(limit, Math.max(-limit, value));
}

/**
 * Takes in what one of many senders tells, each of which tells again later. A sender counts by its
 * samples, and the average of them all for no more than `MAX_AVERAGED`.
 */
export function average(kept: types.Level, told: types.Level): types.Level {
  const all = combine([kept, told], 0);
  return { mean: all.mean, samples: Math.min(MAX_AVERAGED, all.samples) };
}
