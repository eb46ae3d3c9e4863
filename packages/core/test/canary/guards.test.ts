/** Guards against properties of canary releases that hold without the safeguard that they are to test. */
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('canary: guards of the properties');
const { canarySchedule, canaryWorld } = fixtures;

type Schedule = fixtures.canarySchedule.Schedule;

const MAX_SCHEDULES = 80;

function aBadSchedule(seed: number): Schedule {
  return canarySchedule.aSchedule(seed, false);
}

/** The store is away from before the verdict until long after it. */
function aScheduleWithoutStore(seed: number): Schedule {
  return {
    ...aBadSchedule(seed),
    quality: { kind: 'failing', share: 0.2, fromMs: 0, route: undefined, fromStep: 0 },
    troubles: [{ kind: 'store', fault: 'outage', atMs: 2_500, forMs: 30_000 }],
  };
}

const GUARDS: readonly {
  removed: fixtures.canaryGuards.Removed;
  scheduleOf: (seed: number) => Schedule;
}[] = [
  { removed: 'share', scheduleOf: aBadSchedule },
  { removed: 'verdict', scheduleOf: aScheduleWithoutStore },
  { removed: 'settling', scheduleOf: (seed) => canarySchedule.aSchedule(seed, true) },
  { removed: 'comparison', scheduleOf: aBadSchedule },
];

GUARDS.forEach(({ removed, scheduleOf }) => {
  suite(`without "${removed}" something happens that must not`, () => {
    const seeds = Array.from({ length: MAX_SCHEDULES }, (_, at) => at + 1);
    const isFound = seeds.some(
      (seed) => canaryWorld.play(scheduleOf(seed), removed).violations.length > 0,
    );
    assert.ok(isFound);
  });
});

suite('an outage of the store does not delay the verdict', () => {
  const { violations, sentToNext } = canaryWorld.play(aScheduleWithoutStore(1));
  assert.equal(violations, []);
  assert.ok(sentToNext > 0);
});

suite.run();
