/** Guards against a boundary between sizes that fits one deployment only. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('prompt mix: sizes');
const { sizes, work } = core.promptMix;

function learnedFrom(tokens: readonly number[]) {
  const learned = sizes.create();
  Array.from({ length: 10 }).forEach(() => tokens.forEach((each) => sizes.record(learned, each)));
  return learned.boundary;
}

suite('prompts that are all alike have no boundary', () => {
  assert.is(learnedFrom([2_300, 2_350, 2_400, 2_500]), undefined);
});

suite('the boundary lies between two sizes, whatever they are and however few are long', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 50, max: 20_000 }),
      fc.integer({ min: 4, max: 40 }),
      fc.integer({ min: 1, max: 20 }),
      (short, factor, shortOnes) => {
        const all = [...Array.from({ length: shortOnes }, () => short), short * factor];
        const boundary = learnedFrom([...all, ...all]);
        return (
          boundary !== undefined && boundary.tokens > short && boundary.tokens <= short * factor
        );
      },
    ),
    fixtures.seeded(300),
  );
});

suite('sums of peers are split into short and long prompts', () => {
  const boundary = { tokens: 5_000, meanShortTokens: 2_400, meanLongTokens: 12_000 };
  const sum = { requests: 7, promptTokens: 5 * 2_400 + 2 * 12_000, unreadTokens: 0 };
  const split = work.split(sum, boundary);
  assert.is(Math.round(split.long * 1_000), 2_000);
  assert.is(Math.round(split.short * 1_000), 5_000);
  const odd = work.split({ requests: 1, promptTokens: 90_000, unreadTokens: 0 }, boundary);
  assert.equal(odd, { short: 0, long: 1 });
});

suite.run();
