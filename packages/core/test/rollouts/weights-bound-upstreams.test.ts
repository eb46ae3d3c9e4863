/**
 * Guards against requests that begin on replaced weights too late, over random schedules of versions that are
 * skipped, waits, restarted upstreams and late hearing.
 */
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';

const suite = uvu.suite('rollouts: bound on replaced weights');
const { weightsCheck, weightsJudge, weightsSchedule } = fixtures;

// Guards against a version that was replaced unseen, so that the one before it gets the time of the next.
suite('holds for skipped versions', () =>
  weightsCheck.holdsWhere(weightsSchedule.skippedVersions(), (schedule) =>
    weightsCheck.breachesOf(schedule),
  ),
);

// Guards against requests that wait at the upstream until the bound has passed.
suite('holds for waits beyond the estimate', () => weightsCheck.holds({ maxExcessMs: 3_000 }));

// Guards against believing a restarted upstream to have newer weights than it has.
suite('holds for restarted upstreams', () => weightsCheck.holds({ restarts: 'weights-kept' }));

// Guards against believing weights that an upstream lost in a restart that its entry does not show yet.
suite('holds for upstreams that lose weights', () =>
  weightsCheck.holds({ restarts: 'weights-lost' }),
);

// Guards against requests that begin late at an upstream because their sender froze and could not withdraw them.
suite('holds for senders frozen after sending', () =>
  weightsCheck.holdsWhere(
    weightsSchedule.schedules(
      weightsSchedule.variations({ troubles: ['frozen'], maxExcessMs: 3_000 }),
    ),
    (schedule) => {
      const begun = fixtures.playWeights(schedule);
      const others = weightsJudge.breaches(schedule, begun, 'until-begun').map(({ atMs }) => atMs);
      return weightsJudge
        .breaches(schedule, begun, 'at-sending')
        .filter(({ atMs }) => !others.includes(atMs));
    },
  ),
);

// Guards against requests that were placed before their instance heard of the version, and that wait beyond the bound.
suite('holds for requests placed before the version is heard of', () =>
  weightsCheck.holds({ troubles: ['cut'], maxOwnTokens: 80_000, maxExcessMs: 3_000 }),
);

// Guards against combinations of troubles that none of the schedules above has.
suite('holds for all together', () =>
  weightsCheck.holds({
    troubles: ['frozen', 'killed', 'reset', 'cut', 'stepped'],
    monotonic: 'either',
    maxExcessMs: 3_000,
    maxOwnTokens: 80_000,
    skipsVersions: true,
    restarts: 'weights-kept',
  }),
);

suite.run();
