/**
 * Guards against requests that go on into an evacuated data centre from an instance that reaches the
 * platform and yet has not heard of evacuations for longer than their bound.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('gateway: evacuations that cannot be confirmed');

const BOUNDS = { revocationMs: 5_000, adoptionMs: 2_000, evacuationMs: 5_000 };
const NOW_MS = 100_000;

/** What an instance whose confirmations are so old, in ms, does with a request. */
function outcome(
  tableAgeMs: number,
  evacuationsAgeMs: number | undefined,
  changed: Partial<core.gateway.routes.Route> = {},
): string {
  const evacuationsAt =
    evacuationsAgeMs === undefined ? undefined : fixtures.anInstant(NOW_MS - evacuationsAgeMs);
  const confirmations = { tableAt: fixtures.anInstant(NOW_MS - tableAgeMs), evacuationsAt };
  const table = fixtures.aRoutingTable({ routes: [fixtures.aRoute(changed)] });
  const known = { index: core.gateway.routes.buildIndex(table), confirmations };
  const incoming = fixtures.aGatewayRequest({});
  const decision = core.gateway.access.check(known, incoming, BOUNDS, fixtures.anInstant(NOW_MS));
  return decision.kind === 'denied' ? decision.code : 'allowed';
}

suite('past the bound, less the way to an upstream, nothing is served', () => {
  [{}, { isAnonymous: true }].forEach((route) => {
    assert.is(outcome(100, 4_400, route), 'allowed');
    assert.is(outcome(100, 4_401, route), 'configurationUnsure');
  });
});

suite('an instance that never heard of evacuations serves nothing, whatever else it knows', () => {
  assert.is(outcome(100, undefined), 'configurationUnsure');
  assert.is(outcome(3_000, undefined), 'configurationUnsure');
  assert.is(outcome(100, undefined, { isAnonymous: true }), 'configurationUnsure');
});

suite('while the platform is away, the bound of the routing table decides', () => {
  assert.is(outcome(3_000, 6_000), 'allowed');
  assert.is(outcome(4_401, 6_000), 'configurationUnsure');
  assert.is(outcome(6_000, 6_000, { isAnonymous: true }), 'allowed');
});

suite.run();
