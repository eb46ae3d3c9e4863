/** Guards against good versions that are rolled back by chance, or not completed by the deadline. */
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('canary: good versions');
const { canarySchedule, canaryWorld } = fixtures;

const SCHEDULES = 250;
const MIN_COMPLETED_SHARE = 0.99;

suite('99 of 100 are completed by the deadline while 2 % of all responses fail', () => {
  const played = Array.from({ length: SCHEDULES }, (_, at) => {
    const schedule = canarySchedule.aSchedule(at + 1, true);
    return { schedule, outcome: canaryWorld.play(schedule) };
  });
  const completed = played.filter(
    ({ schedule, outcome }) =>
      outcome.state === 'completed' && (outcome.endedAtMs ?? Infinity) <= schedule.durationMs,
  );
  assert.equal(
    played.flatMap(({ outcome }) => outcome.violations),
    [],
  );
  assert.ok(
    completed.length >= MIN_COMPLETED_SHARE * SCHEDULES,
    `${completed.length} of ${SCHEDULES} were completed`,
  );
});

suite.run();
