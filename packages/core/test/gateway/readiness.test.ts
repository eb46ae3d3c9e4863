import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('readiness of a gateway');

const TABLE = fixtures.aRoutingTable();
const STEPS: readonly core.messages.GatewayMessage[] = [
  { type: 'gateway.table-read', table: TABLE, askedAt: fixtures.anInstant() },
  { type: 'gateway.upstreams-known' },
  { type: 'gateway.verdicts-known' },
  { type: 'gateway.weights-known' },
  { type: 'gateway.evacuations-confirmed', askedAt: fixtures.anInstant() },
];

const BOUNDS: core.gateway.decide.Bounds = {
  revocationMs: 5_000,
  adoptionMs: 2_000,
  evacuationMs: 5_000,
  ...fixtures.DRAIN_BOUNDS,
  retryWindowMs: 1_000,
  retryRatio: 0.1,
  retryExtra: 1,
};

function readinessAfter(messages: readonly core.messages.GatewayMessage[]): boolean {
  const now = fixtures.anInstant(10);
  return messages.reduce(
    (state, message) => core.gateway.decide.decide(state, message, now).state,
    core.gateway.decide.initial(BOUNDS, now),
  ).isReady;
}

/**
 * Guards against an instance that starts anew, takes what it has not read yet for nothing, and sends to an
 * evacuated data centre, on replaced weights, or a part that crashes upstreams once more.
 */
suite('an instance is ready once it has read all that requests depend on', () => {
  assert.ok(readinessAfter(STEPS));
  STEPS.forEach((left) => assert.not(readinessAfter(STEPS.filter((each) => each !== left))));
});

suite.run();
