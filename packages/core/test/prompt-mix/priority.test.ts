/** Guards against a long prompt of an urgent rank behind a short one of a less urgent rank. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('prompt mix: priority');
const { priority } = core.promptMix;

type Sent = core.promptMix.priority.Sent;
type Turn = core.promptMix.priority.Turn;

function priorityWith(rank: number, turn: Turn, changed: Partial<Sent> = {}): number {
  const usual = { rank, turn, isResumed: false, waitedMs: 0, latencyTargetMs: 1_000 };
  return priority.priorityOf({ ...usual, ...changed });
}

suite(
  'ranks keep their order, and a shorter prompt of a rank never goes behind a longer one',
  () => {
    const ranks = fc.uniqueArray(fc.integer({ min: 0, max: 9 }), { minLength: 1, maxLength: 10 });
    fc.assert(
      fc.property(ranks, (drawn) => {
        const inUse = [...drawn].sort((a, b) => a - b);
        const values = inUse.map((rank) => ({
          resumed: priorityWith(rank, { kind: 'after-shorter', ranks: inUse }, { isResumed: true }),
          shorter: priorityWith(rank, { kind: 'before-longer', ranks: inUse }),
          longer: priorityWith(rank, { kind: 'after-shorter', ranks: inUse }),
        }));
        values.forEach(({ resumed, shorter, longer }, at) => {
          assert.ok(resumed >= 0 && longer <= priority.MAX_PRIORITY);
          assert.ok(resumed <= shorter && shorter <= longer);
          if (inUse.length <= 5) assert.ok(shorter < longer);
          const { [at - 1]: before } = values;
          if (before) assert.ok(before.longer < resumed);
        });
      }),
      fixtures.seeded(500),
    );
  },
);

suite('ranks far apart keep their values', () => {
  const ranks = [0, 5];
  assert.is(priorityWith(0, { kind: 'before-longer', ranks }), 0);
  assert.is(priorityWith(0, { kind: 'after-shorter', ranks }), 1);
  assert.is(priorityWith(5, { kind: 'before-longer', ranks }), 5);
  assert.is(priorityWith(5, { kind: 'after-shorter', ranks }), 6);
  assert.is(priorityWith(5, { kind: 'before-longer', ranks }, { isResumed: true }), 4);
});

suite('ranks outside the range of upstreams, or unknown ones, still have a value in it', () => {
  const ranks = [3, 40];
  [-2, 3, 4, 40, 1_000].forEach((rank) => {
    const value = priorityWith(rank, { kind: 'after-shorter', ranks });
    assert.ok(value >= 0 && value <= priority.MAX_PRIORITY);
  });
  assert.ok(
    priorityWith(3, { kind: 'after-shorter', ranks }) <
      priorityWith(40, { kind: 'before-longer', ranks }),
  );
});

suite('where sizes are not told apart, the priority is that of the rank', () => {
  assert.is(priorityWith(5, { kind: 'by-rank' }), 5);
  assert.is(priorityWith(5, { kind: 'by-rank' }, { isResumed: true }), 4);
  assert.is(priorityWith(0, { kind: 'by-rank' }, { isResumed: true }), 0);
  assert.is(priorityWith(12, { kind: 'by-rank' }), 9);
});

suite('a long prompt that has waited half of its target goes before others of its rank', () => {
  const turn: Turn = { kind: 'after-shorter', ranks: [5] };
  assert.is(priorityWith(5, turn, { waitedMs: 499 }), 6);
  assert.is(priorityWith(5, turn, { waitedMs: 500 }), 5);
});

suite.run();
