/**
 * Guards against a property of the bound on replaced weights that would hold without the guard that it is
 * to test.
 */
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('rollouts: guards of the bound on replaced weights');
const { weightsCheck } = fixtures;

const ROLLOUT_MARGIN_MS = 700;

const GUARDS: readonly fixtures.weightsCheck.Guard[] = [
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
    name: 'the check of the expected version',
    takenOut: { checksExpectedVersion: false },
    variations: { restarts: 'weights-lost' },
  },
  {
    name: 'the withdrawal',
    takenOut: { withdraws: false },
    variations: { maxExcessMs: 3_000 },
  },
];

GUARDS.forEach((guard) =>
  suite(`fails without ${guard.name}`, () => assert.ok(weightsCheck.failsWithout(guard))),
);

suite.run();
