/** The limit of wait: who is refused first as load rises, and that nobody is shut out. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('shares: limit of wait');
const { maxWaitMs } = core.shares.waitLimit;

const TARGET_MS = 1_000;
const READ_MS = 100;

function aRank(changed: Partial<core.shares.ranks.Standing> = {}): core.shares.ranks.Standing {
  return { ranksAbove: 0, shareAhead: 1, outrankedWaitMs: 0, ...changed };
}

function aClaim(changed: Partial<core.shares.waitLimit.Claim> = {}): core.shares.waitLimit.Claim {
  return {
    latencyTargetMs: TARGET_MS,
    isResumed: false,
    overuse: 0,
    rank: aRank(),
    isReturn: false,
    refusedShare: 0,
    pacedForMs: 0,
    untilTargetMs: TARGET_MS,
    untilDeadlineMs: 12_000,
    hasOthersWaiting: false,
    ...changed,
  };
}

suite('without contention the limit is that of the rules without prediction', () => {
  assert.is(maxWaitMs(aClaim(), READ_MS), 750);
  assert.is(maxWaitMs(aClaim({ isResumed: true }), READ_MS), 2_000);
});

suite('the limit falls with overuse, and for ranks with more urgent ones before them', () => {
  const limits = [0, 0.04, 0.1, 5].map((overuse) =>
    Math.floor(maxWaitMs(aClaim({ overuse }), READ_MS) + 1e-6),
  );
  assert.equal(limits, [750, 645, 487, 225]);
  assert.is(maxWaitMs(aClaim({ rank: aRank({ ranksAbove: 1 }) }), READ_MS), 600);
});

/** Guards against urgent short prompts that are refused for a queue of long ones which they overtake. */
suite('a rank that is admitted first waits for its part of the work only', () => {
  const outranking = aRank({ shareAhead: 0.5, outrankedWaitMs: 2_000 });
  assert.is(maxWaitMs(aClaim({ rank: outranking }), READ_MS), 1_500);
  const few = aRank({ shareAhead: 0.01, outrankedWaitMs: 2_000 });
  assert.is(maxWaitMs(aClaim({ rank: few }), READ_MS), 2_000);
  const equal = aRank({ shareAhead: 0.5, outrankedWaitMs: 600 });
  assert.is(maxWaitMs(aClaim({ rank: equal }), READ_MS), 750);
});

suite('once many are refused, a part of the queue is kept for those that return in time', () => {
  const refusedShare = 0.5;
  const usual = maxWaitMs(aClaim({ refusedShare }), READ_MS);
  const returned = maxWaitMs(aClaim({ refusedShare, isReturn: true }), READ_MS);
  assert.ok(usual < returned && returned <= 750, `${usual} ${returned}`);
});

/** Guards against a self-sustaining overload: late work delays what could still be in time. */
suite('late work is not started while work that can be in time waits', () => {
  const late = { untilTargetMs: READ_MS - 1 };
  assert.is(maxWaitMs(aClaim({ ...late, hasOthersWaiting: true }), READ_MS), 0);
  assert.is(maxWaitMs(aClaim(late), READ_MS), 750);
});

/** Guards against prompts so long that they are late from the start and would never be started. */
suite(
  'a prompt that takes longer to read than the target is started when the queue is short',
  () => {
    const readMs = TARGET_MS * 2;
    const limit = maxWaitMs(aClaim({ hasOthersWaiting: true, refusedShare: 1 }), readMs);
    assert.ok(limit > 0);
  },
);

/** Guards against instances that all fill the same room, which they hear of late. */
suite(
  'while many are refused, work is started at a pace, but for ranks that go before others',
  () => {
    const paced = { refusedShare: 0.5, pacedForMs: 40 };
    assert.is(maxWaitMs(aClaim(paced), READ_MS), -40);
    assert.ok(maxWaitMs(aClaim({ ...paced, refusedShare: 0 }), READ_MS) > 0);
    assert.ok(maxWaitMs(aClaim({ ...paced, rank: aRank({ outrankedWaitMs: 1 }) }), READ_MS) > 0);
    assert.ok(maxWaitMs(aClaim({ ...paced, isResumed: true }), READ_MS) > 0);
  },
);

suite('a request whose first token would come after its deadline is not started', () => {
  assert.ok(maxWaitMs(aClaim({ untilDeadlineMs: 99 }), READ_MS) < 0);
  assert.is(maxWaitMs(aClaim({ untilDeadlineMs: 150 }), READ_MS), 50);
});

suite('no rank, account or size is shut out, and none gets more than without contention', () => {
  const claim = fc.record({
    overuse: fc.double({ min: 0, max: 1e9, noNaN: true }),
    rank: fc.integer({ min: 0, max: 9 }).map((ranksAbove) => aRank({ ranksAbove })),
    isReturn: fc.boolean(),
    refusedShare: fc.double({ min: 0, max: 1, noNaN: true }),
    hasOthersWaiting: fc.boolean(),
  });
  const property = fc.property(claim, fc.integer({ min: 0, max: 5_000 }), (given, readMs) => {
    const limit = maxWaitMs(aClaim({ ...given, untilDeadlineMs: 60_000 }), readMs);
    assert.ok(limit >= 0.25 * 750 - 1e-9 && limit <= 750);
  });
  fc.assert(property, fixtures.seeded());
});

suite.run();
