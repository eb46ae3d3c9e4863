/** Guards, on random schedules, against deadly parts that go on crashing upstreams after all instances were killed. */
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';

const suite = uvu.suite('quarantine: killed instances');

suite('the bound holds when all instances are killed at once', () => {
  fastCheck.assert(
    fastCheck.property(
      fixtures.WORLD_OPTIONS,
      fixtures.DEADLY_SHARE,
      fixtures.aTrouble(['kill-all']),
      (options, deadlyShare, trouble) => {
        const deadlyParts = ['deadly-1'];
        const world = fixtures.playSchedule(
          { ...options, deadlyShare, deadlyParts, deadlyFromMs: 0 },
          [trouble],
        );
        fixtures.checkBudget(world, deadlyParts);
      },
    ),
    fixtures.seeded(30),
  );
});

/** Guards against instances that are all killed again and again, and forget the crashes before each time. */
suite('the bound holds when all instances are killed several times', () => {
  const kills = fastCheck.array(fixtures.aTrouble(['kill-all']), { minLength: 2, maxLength: 5 });
  fastCheck.assert(
    fastCheck.property(
      fixtures.WORLD_OPTIONS,
      fixtures.DEADLY_SHARE,
      kills,
      (options, deadlyShare, troubles) => {
        const deadlyParts = ['deadly-1'];
        const world = fixtures.playSchedule(
          { ...options, deadlyShare, deadlyParts, deadlyFromMs: 0 },
          troubles,
        );
        fixtures.checkBudget(world, deadlyParts);
      },
    ),
    fixtures.seeded(30),
  );
});

/** Guards against instances that forget their counted crashes. Found by the property above with seed 905. */
suite('the bound holds where seven instances are killed before six upstreams', () => {
  const deadly = { deadlyShare: 0.2, deadlyParts: ['deadly-1'], deadlyFromMs: 0 };
  const fleet = { instances: 7, upstreams: 6, requestsPerS: 22, lossShare: 0.3 };
  const world = { seed: 1_872_857_509, rareParts: 2_000, burstShare: 0, sendsHeads: false };
  const trouble: fixtures.Trouble = { kind: 'kill-all', atMs: 4_513, which: 0, forMs: 1_000 };
  fixtures.checkBudget(
    fixtures.playSchedule({ ...deadly, ...fleet, ...world }, [trouble]),
    deadly.deadlyParts,
  );
});

suite.run();
