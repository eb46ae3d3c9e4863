import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: the list of upstreams');
const { discovery: listing } = core.fleet;

type Listed = core.fleet.upstream.Registration;

/** A list with one upstream, and what the platform says after that. */
function aListing(listed: Listed = fixtures.aListedUpstream('u-1')) {
  const held = listing.create();
  const hear = (atMs: number, changed: readonly Listed[], removed: readonly string[] = []) =>
    listing.applyUpdate(held, { changed, removed, isSnapshot: false }, fixtures.anInstant(atMs));
  hear(0, [listed]);
  return {
    held,
    hear,
    snapshot: (atMs: number, changed: readonly Listed[]) =>
      listing.applyUpdate(
        held,
        { changed, removed: [], isSnapshot: true },
        fixtures.anInstant(atMs),
      ),
    standing: () => held.upstreams.get('u-1')?.registrationState.kind,
    reach: () => held.upstreams.get('u-1')?.reachability.kind,
  };
}

suite('an upstream that is taken off the list is gone at once', () => {
  const list = aListing();
  list.hear(10_000, [], ['u-1']);
  assert.is(list.standing(), 'gone');
});

suite('an entry that lapsed in an outage is used on until living upstreams are back', () => {
  const list = aListing();
  listing.recordOutage(list.held, fixtures.anInstant(9_000));
  list.snapshot(9_500, []);
  assert.is(list.standing(), 'missing');
  listing.expire(list.held, fixtures.anInstant(11_300));
  assert.is(list.standing(), 'missing');
  listing.expire(list.held, fixtures.anInstant(11_500));
  assert.is(list.standing(), 'gone');
});

suite('an entry that comes back in time is listed as before', () => {
  const list = aListing();
  listing.recordOutage(list.held, fixtures.anInstant(9_000));
  list.snapshot(9_500, []);
  list.hear(10_500, [fixtures.aListedUpstream('u-1')]);
  listing.expire(list.held, fixtures.anInstant(20_000));
  assert.is(list.standing(), 'listed');
  assert.is(list.reach(), 'answers');
});

suite('an upstream that drains does not come back in the same incarnation', () => {
  const list = aListing();
  list.hear(1_000, [fixtures.aListedUpstream('u-1', { presence: 'draining' })]);
  list.hear(1_100, [fixtures.aListedUpstream('u-1')]);
  assert.is(list.standing(), 'draining');
});

suite('another incarnation under the same id starts anew', () => {
  const list = aListing();
  list.hear(1_000, [fixtures.aListedUpstream('u-1', { presence: 'draining' })]);
  list.hear(2_000, [fixtures.aListedUpstream('u-1', { incarnationStartedAtMs: 2 })]);
  assert.is(list.standing(), 'listed');
});

suite('an entry that reappears after its removal has to prove itself by a probe', () => {
  const list = aListing();
  list.hear(1_000, [], ['u-1']);
  list.hear(1_500, [fixtures.aListedUpstream('u-1')]);
  assert.is(list.reach(), 'silent');
});

suite('weights never go back to older ones', () => {
  const list = aListing();
  const known = list.held.upstreams.get('u-1');
  if (known) core.fleet.upstream.recordVersion(known, 'model-1', 3);
  list.hear(1_000, [
    fixtures.aListedUpstream('u-1', { models: [{ model: 'model-1', version: 2 }] }),
  ]);
  assert.is(known?.versions.get('model-1'), 3);
});

suite('what left while the list was out of reach gets nothing two seconds after its return', () => {
  const state = fixtures.aFleet([fixtures.aListedUpstream('u-1'), fixtures.aListedUpstream('u-2')]);
  const unavailable = { type: 'fleet.upstream-list-unavailable' as const };
  core.fleet.decide(state, unavailable, fixtures.anInstant(0));
  const news = { changed: [fixtures.aListedUpstream('u-2')], removed: [], isSnapshot: true };
  const noticedAt = fixtures.anInstant(1_030);
  core.fleet.decide(state, { type: 'fleet.upstream-list-read', update: news }, noticedAt);
  const wish = fixtures.aPlacementRequest({ excludedUpstreams: ['u-2'] });
  assert.is(fixtures.placedUpstream(state, wish, fixtures.anInstant(2_250)), 'none-usable');
});

suite.run();
