/**
 * Guards against requests that begin on replaced weights too late after the newer ones were named, over
 * random schedules of namings, troubles, loads and waits.
 */
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('rollouts: bound on replaced weights');
const { weightsJudge, weightsSchedule } = fixtures;

const RUNS = 100;

/** What breaks the rule, with a sender that is in touch until the request begins. */
function breachesOf(
  schedule: fixtures.weightsSchedule.Schedule,
  guards: Partial<fixtures.weightsWorld.Guards> = {},
): readonly fixtures.weightsJudge.Breach[] {
  const begun = fixtures.playWeights(schedule, guards);
  return weightsJudge.breaches(schedule, begun, 'until-begun');
}

function holdsWhere(
  drawn: fastCheck.Arbitrary<fixtures.weightsSchedule.Schedule>,
  found: (schedule: fixtures.weightsSchedule.Schedule) => readonly fixtures.weightsJudge.Breach[],
): void {
  fastCheck.assert(
    fastCheck.property(drawn, (schedule) => assert.equal(found(schedule).slice(0, 1), [])),
    fixtures.seeded(RUNS),
  );
}

function holds(changed: Partial<fixtures.weightsSchedule.Variations>): void {
  const drawn = weightsSchedule.schedules(weightsSchedule.variations(changed));
  holdsWhere(drawn, (schedule) => breachesOf(schedule));
}

// Guards against a model that no schedule exercises: work does begin on old and on new weights.
suite('play reaches old and new weights', () => {
  const variations = weightsSchedule.variations();
  const [schedule] = fastCheck.sample(weightsSchedule.schedules(variations), {
    seed: 1,
    numRuns: 1,
  });
  const begun = schedule ? fixtures.playWeights(schedule) : [];
  assert.ok(begun.some(({ version }) => version === 1));
  assert.ok(begun.length > 50);
});

// Guards against work on weights that were replaced too long ago, while nothing goes wrong.
suite('holds without troubles', () => holds({}));

// Guards against a bound that leaves out the time to read a long prompt.
suite('holds for long prompts', () => holds({ maxOwnTokens: 80_000 }));

// Guards against a process that counts the bound from its own start.
suite('holds for instances started anew', () => holds({ troubles: ['killed'] }));

// Guards against a bound that follows the steps of the wall clock.
suite('holds while wall clocks step', () => holds({ troubles: ['stepped'] }));

// Guards against a bound that counts from the waking of an instance that was stopped at the naming.
suite('holds for instances frozen at the naming', () => holds({ troubles: ['frozen'] }));

// Guards against an age that lacks the time for which a suspended machine's monotonic clock stood.
suite('holds for suspended clocks', () =>
  holdsWhere(weightsSchedule.suspendedLater(), (schedule) => breachesOf(schedule)),
);

// Guards against a lost watch, after which the bound counts from the next answer.
suite('holds for lost watches', () => holds({ troubles: ['reset', 'cut'] }));

// Guards against a version that was replaced unseen, so that the one before it gets the time of the next.
suite('holds for skipped versions', () =>
  holdsWhere(weightsSchedule.skippedVersions(), (schedule) => breachesOf(schedule)),
);

// Guards against requests that wait at the upstream until the bound has passed.
suite('holds for waits beyond the estimate', () => holds({ maxExcessMs: 3_000 }));

// Guards against believing a restarted upstream to have newer weights than it has.
suite('holds for restarted upstreams', () => holds({ restarts: 'weights-kept' }));

// Guards against believing weights that an upstream lost in a restart that its entry does not show yet.
suite('holds for upstreams that lose weights', () => holds({ restarts: 'weights-lost' }));

// Guards against requests that begin late at an upstream because their sender froze and could not withdraw them.
suite('holds for senders frozen after sending', () =>
  holdsWhere(
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
  holds({ troubles: ['cut'], maxOwnTokens: 80_000, maxExcessMs: 3_000 }),
);

// Guards against combinations of troubles that none of the schedules above has.
suite('holds for all together', () =>
  holds({
    troubles: ['frozen', 'killed', 'reset', 'cut', 'stepped'],
    monotonic: 'either',
    maxExcessMs: 3_000,
    maxOwnTokens: 80_000,
    skipsVersions: true,
    restarts: 'weights-kept',
  }),
);

type Guard = {
  name: string;
  takenOut: Partial<fixtures.weightsWorld.Guards>;
  variations: Partial<fixtures.weightsSchedule.Variations>;
};

const ROLLOUT_MARGIN_MS = 700;

const GUARDS: readonly Guard[] = [
  {
    name: 'the bound',
    takenOut: {
      fleet: (state) => ({ ...state, bounds: { ...state.bounds, rolloutMs: Infinity } }),
    },
    variations: {},
  },
  {
    name: 'the margin and the withdrawal',
    takenOut: {
      withdraws: false,
      fleet: (state) => {
        const rolloutMs = fixtures.FLEET_BOUNDS.rolloutMs + ROLLOUT_MARGIN_MS;
        return { ...state, bounds: { ...state.bounds, rolloutMs } };
      },
    },
    variations: { maxExcessMs: 600 },
  },
  {
    name: 'the time to read the prompt and the withdrawal',
    takenOut: {
      withdraws: false,
      fleet: (state) => ({ ...state, prefillRates: new Map([['models', Infinity]]) }),
    },
    variations: { maxOwnTokens: 200_000 },
  },
  {
    name: 'the time of each replaced version',
    takenOut: {
      fleet: (state) => ({
        ...state,
        targetVersions: new Map(
          [...state.targetVersions].map(([model, target]) => [model, { ...target, replaced: [] }]),
        ),
      }),
    },
    variations: {},
  },
  {
    name: 'the age of versions read at the start',
    takenOut: { tellsNamedAfter: false },
    variations: { troubles: ['killed'] },
  },
  {
    name: 'the check of the expected version',
    takenOut: { checksExpectedVersion: false },
    variations: { restarts: 'weights-lost' },
  },
  {
    name: 'the earliest time of a naming',
    takenOut: { tellsNamedAfter: false },
    variations: { troubles: ['frozen'] },
  },
  {
    name: 'the withdrawal',
    takenOut: { withdraws: false },
    variations: { maxExcessMs: 3_000 },
  },
  {
    name: 'the age on the wall clock',
    takenOut: { hasWallClock: false },
    variations: { troubles: ['frozen'], monotonic: 'stands' },
  },
];

// Guards against a property that would hold without the guard that it is to test.
GUARDS.forEach(({ name, takenOut, variations }) =>
  suite(`fails without ${name}`, () => {
    const drawn = weightsSchedule.schedules(weightsSchedule.variations(variations));
    const property = fastCheck.property(
      drawn,
      (schedule) => breachesOf(schedule, takenOut).length === 0,
    );
    assert.ok(fastCheck.check(property, fixtures.seeded(RUNS)).failed);
  }),
);

suite.run();
