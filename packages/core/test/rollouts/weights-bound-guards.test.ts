/**
 * Guards against a property of the bound on replaced weights that would hold without the guard that it is
 * to test.
 */
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('rollouts: guards of the bound on replaced weights');
const { weightsCheck, weightsSchedule } = fixtures;

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

GUARDS.forEach(({ name, takenOut, variations }) =>
  suite(`fails without ${name}`, () => {
    const drawn = weightsSchedule.schedules(weightsSchedule.variations(variations));
    const property = fastCheck.property(
      drawn,
      (schedule) => weightsCheck.breachesOf(schedule, takenOut).length === 0,
    );
    assert.ok(fastCheck.check(property, fixtures.seeded(weightsCheck.RUNS)).failed);
  }),
);

suite.run();
