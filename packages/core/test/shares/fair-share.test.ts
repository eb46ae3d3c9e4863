/** Max-min shares: an error here lets one client account crowd out the others, or starves one. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('shares: fair share');
const { fairShare } = core.shares;

const amounts = fc.record({
  used: fc.double({ min: 0, max: 1e6, noNaN: true }),
  refused: fc.double({ min: 0, max: 1e6, noNaN: true }),
});
const demands = fc.array(fc.double({ min: 0, max: 1e6, noNaN: true }), { maxLength: 40 });

suite('the level divides the capacity among the demands, and lends what is not demanded', () => {
  assert.is(fairShare.maxMinLevel([10, 50, 90], 120), 60);
  assert.is(fairShare.maxMinLevel([40, 40], 60), 30);
  assert.is(fairShare.maxMinLevel([10, 20], 60), Infinity);
  assert.is(fairShare.maxMinLevel([], 60), Infinity);
});

suite('the parts of all accounts add up to the capacity while the demand exceeds it', () => {
  const property = fc.property(
    demands,
    fc.double({ min: 1, max: 1e6, noNaN: true }),
    (all, capacity) => {
      const level = fairShare.maxMinLevel(all, capacity);
      const total = all.reduce((sum, each) => sum + each, 0);
      const given = all.reduce((sum, each) => sum + Math.min(each, level), 0);
      if (level === Infinity) assert.ok(total <= capacity * 1.000_001);
      else assert.ok(Math.abs(given - capacity) <= capacity * 1e-6);
      assert.ok(all.length === 0 || level >= (capacity / all.length) * 0.999_999);
    },
  );
  fc.assert(property, fixtures.seeded());
});

suite('an account alone, and accounts with equal use, are not above their share', () => {
  assert.is(fairShare.overuseOf(90, fairShare.levelOf([{ used: 90, refused: 40 }])), 0);
  const equal = Array.from({ length: 7 }, () => ({ used: 30, refused: 10 }));
  assert.ok(fairShare.overuseOf(30, fairShare.levelOf(equal)) < 1e-9);
});

suite('an account with a burst is above its share, and the others are not', () => {
  const light = Array.from({ length: 9 }, () => ({ used: 10, refused: 0 }));
  const level = fairShare.levelOf([{ used: 200, refused: 50 }, ...light]);
  assert.ok(fairShare.overuseOf(200, level) > 0.5);
  assert.is(fairShare.overuseOf(10, level), 0);
});

/** Guards against a reward for repeating refused requests at once. */
suite('asking for more does not make an account look less above its share', () => {
  const property = fc.property(
    fc.array(amounts, { minLength: 1, maxLength: 20 }),
    fc.double({ min: 0, max: 1e6, noNaN: true }),
    ([first, ...others], more) => {
      if (!first) return;
      const overuse = (refused: number) =>
        fairShare.overuseOf(first.used, fairShare.levelOf([{ ...first, refused }, ...others]));
      assert.ok(overuse(first.refused + more) >= overuse(first.refused) - 1e-9);
    },
  );
  fc.assert(property, fixtures.seeded());
});

suite.run();
