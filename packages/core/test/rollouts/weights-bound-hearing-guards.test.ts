/**
 * Guards against a property of the bound on replaced weights that would hold without what an instance
 * does to know when a version was named.
 */
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('rollouts: guards of the times of named weights');
const { weightsCheck } = fixtures;

const GUARDS: readonly fixtures.weightsCheck.Guard[] = [
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
    name: 'the earliest time of a naming',
    takenOut: { tellsNamedAfter: false },
    variations: { troubles: ['frozen'] },
  },
  {
    name: 'the age on the wall clock',
    takenOut: { hasWallClock: false },
    variations: { troubles: ['frozen'], monotonic: 'stands' },
  },
];

GUARDS.forEach((guard) =>
  suite(`fails without ${guard.name}`, () => assert.ok(weightsCheck.failsWithout(guard))),
);

suite.run();
