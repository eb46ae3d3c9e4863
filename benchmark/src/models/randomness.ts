/** Seeded random numbers for the models: the same seed gives the same run. */
import * as uniform from 'pure-rand/distribution/uniformInt';
import * as pureRand from 'pure-rand/generator/xoroshiro128plus';

export type Randomness = {
  /** From 0 up to, but not including, 1. */
  share(): number;
  between(low: number, high: number): number;
  /** Time until the next of independent events, given their mean interval. */
  exponential(mean: number): number;
};

const RANGE = 2 ** 32;

export function create(seed: number): Randomness {
  const generator = pureRand.xoroshiro128plus(seed);
  const share = () => uniform.uniformInt(generator, 0, RANGE - 1) / RANGE;
  return {
    share,
    between: (low, high) => low + share() * (high - low),
    exponential: (mean) => -Math.log(1 - share()) * mean,
  };
}
