/** The pace at which an instance starts work while requests are refused. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('shares: pace');
const { pace: paces } = core.shares;
const at = fixtures.anInstant;

/** Work per ms; 800 ms of it may be started at once. */
const PER_MS = 10;

function aPace(perMs = PER_MS): core.shares.Pace {
  return { allowance: 0, perMs, atMs: 0, ratedAtMs: 0 };
}

suite(
  'what may be started grows with time; an account above its share leaves a part to others',
  () => {
    const pace = aPace();
    paces.spend(pace, 1_000, at(0));
    assert.is(paces.untilAllowedMs(pace, 0, at(0)), 100);
    assert.is(paces.untilAllowedMs(pace, 0, at(100)), 0);
    assert.is(paces.untilAllowedMs(pace, 0.1, at(100)), 400);
  },
);

suite('without a rate nothing is held back', () => {
  const pace = aPace(0);
  paces.spend(pace, 1_000, at(0));
  assert.is(paces.untilAllowedMs(pace, 1, at(0)), 0);
});

/** Guards against an instance that one large prompt holds back for long. */
suite(
  'nobody is held back for longer than 1.2 s, and no more is started than the rate allows',
  () => {
    const event = fc.record({
      afterMs: fc.integer({ min: 0, max: 500 }),
      work: fc.integer({ min: 0, max: 50_000 }),
      overuse: fc.constantFrom(0, 0.5),
    });
    const property = fc.property(fc.array(event, { maxLength: 50 }), (events) => {
      const pace = aPace();
      let nowMs = 0;
      let started = 0;
      events.forEach(({ afterMs, work, overuse }) => {
        nowMs += afterMs;
        const untilMs = paces.untilAllowedMs(pace, overuse, at(nowMs));
        assert.ok(untilMs >= 0 && untilMs <= 1_200);
        if (untilMs > 0) return;
        paces.spend(pace, work, at(nowMs));
        started += Math.min(work, 800 * PER_MS);
      });
      assert.ok(started <= (nowMs + 800) * PER_MS + 1);
    });
    fc.assert(property, fixtures.seeded());
  },
);

suite.run();
