import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';

const suite = uvu.suite('quarantine: random schedules of deadly calls');

/**
 * Guards, on random schedules of troubles, against calls that go on crashing upstreams as they come again
 * at any instance. Their bound counts from the third crash.
 */
suite('after the third crash, a deadly call is sent at most three times more', () => {
  fastCheck.assert(
    fastCheck.property(
      fixtures.WORLD_OPTIONS,
      fixtures.DEADLY_SHARE,
      fastCheck.boolean(),
      fastCheck.array(fixtures.aTrouble(fixtures.TROUBLE_KINDS), { maxLength: 5 }),
      (options, deadlyShare, areTwo, troubles) => {
        const deadlyCalls = areTwo ? ['call-1', 'call-2'] : ['call-1'];
        const quiet = { deadlyParts: [], deadlyFromMs: 0 };
        const world = fixtures.playSchedule(
          { ...options, ...quiet, deadlyShare, deadlyCalls },
          troubles,
        );
        fixtures.checkBudget(world, deadlyCalls.map(core.quarantine.ofRequest));
      },
    ),
    fixtures.seeded(Number(process.env.DEADLY_CALL_RUNS ?? 40)),
  );
});

suite.run();
