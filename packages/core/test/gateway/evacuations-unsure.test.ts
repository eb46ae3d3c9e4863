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

/** Freshness of an instance whose confirmations are so old, in ms. */
function freshness(tableAgeMs: number, evacuationsAgeMs: number | undefined) {
  const nowMs = 100_000;
  const evacuationsAt =
    evacuationsAgeMs === undefined ? undefined : fixtures.anInstant(nowMs - evacuationsAgeMs);
  const confirmations = { tableAt: fixtures.anInstant(nowMs - tableAgeMs), evacuationsAt };
  return core.gateway.staleness.freshness(confirmations, BOUNDS, fixtures.anInstant(nowMs));
}

suite('past the bound, less the way to an upstream, nothing with a credential is served', () => {
  assert.is(freshness(100, 4_400), 'fresh');
  assert.is(freshness(100, 4_401), 'expired');
});

suite('an instance that never heard of evacuations serves nothing with a credential', () => {
  assert.is(freshness(100, undefined), 'expired');
});

suite('while the platform is away, the bound of the routing table decides', () => {
  assert.is(freshness(3_000, 6_000), 'stale');
  assert.is(freshness(4_401, 6_000), 'expired');
});

suite.run();
