/** The random generator of an instance's samples. */
import * as generators from 'pure-rand/generator/xoroshiro128plus';

const SEED_FACTOR = 31;
const SEED_RANGE = 2 ** 31 - 1;

/** Seeds by the instance's name: samples differ between instances, but not between runs. */
export function createGenerator(ownName: string) {
  const seed = [...ownName].reduce(
    (sum, letter) => (sum * SEED_FACTOR + letter.charCodeAt(0)) % SEED_RANGE,
    1,
  );
  return generators.xoroshiro128plus(seed);
}
