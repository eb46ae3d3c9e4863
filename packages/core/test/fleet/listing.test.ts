/** Applying the platform's list of upstreams: removals, platform outages, incarnations and weights. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: the list of upstreams');
const { discovery } = core.fleet;

type Listed = core.fleet.upstream.Registration;

/** A registry with one upstream, and functions that apply later lists of the platform. */
function aListing(registration: Listed = fixtures.aListedUpstream('u-1')) {
  const registry = discovery.create();
  const applyChanges = (
    atMs: number,
    changed: readonly Listed[],
    removed: readonly string[] = [],
  ) =>
    discovery.applyUpdate(
      registry,
      { changed, removed, isSnapshot: false },
      fixtures.anInstant(atMs),
    );
  applyChanges(0, [registration]);
  return {
    registry,
    applyChanges,
    snapshot: (atMs: number, changed: readonly Listed[]) =>
      discovery.applyUpdate(
        registry,
        { changed, removed: [], isSnapshot: true },
        fixtures.anInstant(atMs),
      ),
    registrationState: () => registry.upstreams.get('u-1')?.registrationState.kind,
    reachability: () => registry.upstreams.get('u-1')?.reachability.kind,
  };
}

suite('an upstream that is removed from the list is gone at once', () => {
  const list = aListing();
  list.applyChanges(10_000, [], ['u-1']);
  assert.is(list.registrationState(), 'gone');
});

suite('an entry that expired in an outage stays usable until the grace period ends', () => {
  const list = aListing();
  discovery.recordOutage(list.registry, fixtures.anInstant(9_000));
  list.snapshot(9_500, []);
  assert.is(list.registrationState(), 'missing');
  discovery.expire(list.registry, fixtures.anInstant(11_300));
  assert.is(list.registrationState(), 'missing');
  discovery.expire(list.registry, fixtures.anInstant(11_500));
  assert.is(list.registrationState(), 'gone');
});

suite('an entry that returns within the grace period is listed again', () => {
  const list = aListing();
  discovery.recordOutage(list.registry, fixtures.anInstant(9_000));
  list.snapshot(9_500, []);
  list.applyChanges(10_500, [fixtures.aListedUpstream('u-1')]);
  discovery.expire(list.registry, fixtures.anInstant(20_000));
  assert.is(list.registrationState(), 'listed');
  assert.is(list.reachability(), 'answers');
});

suite('a draining upstream stays draining in the same incarnation', () => {
  const list = aListing();
  list.applyChanges(1_000, [fixtures.aListedUpstream('u-1', { presence: 'draining' })]);
  list.applyChanges(1_100, [fixtures.aListedUpstream('u-1')]);
  assert.is(list.registrationState(), 'draining');
});

suite('a new incarnation under the same id is listed even if the previous one was draining', () => {
  const list = aListing();
  list.applyChanges(1_000, [fixtures.aListedUpstream('u-1', { presence: 'draining' })]);
  list.applyChanges(2_000, [fixtures.aListedUpstream('u-1', { incarnationStartedAtMs: 2 })]);
  assert.is(list.registrationState(), 'listed');
});

suite('an entry that returns after its removal is silent until a probe succeeds', () => {
  const list = aListing();
  list.applyChanges(1_000, [], ['u-1']);
  list.applyChanges(1_500, [fixtures.aListedUpstream('u-1')]);
  assert.is(list.reachability(), 'silent');
});

suite('an older version in the list does not lower the known version', () => {
  const list = aListing();
  const known = list.registry.upstreams.get('u-1');
  if (known) core.fleet.upstream.recordVersion(known, 'model-1', 3);
  list.applyChanges(1_000, [
    fixtures.aListedUpstream('u-1', { models: [{ model: 'model-1', version: 2 }] }),
  ]);
  assert.is(known?.versions.get('model-1'), 3);
});

suite('what left while the list was out of reach gets nothing two seconds after its return', () => {
  const state = fixtures.aFleet([fixtures.aListedUpstream('u-1'), fixtures.aListedUpstream('u-2')]);
  const unavailable = { type: 'fleet.upstream-list-unavailable' as const };
  core.fleet.decide(state, unavailable, fixtures.anInstant(0));
  const update = { changed: [fixtures.aListedUpstream('u-2')], removed: [], isSnapshot: true };
  const noticedAt = fixtures.anInstant(1_030);
  core.fleet.decide(state, { type: 'fleet.upstream-list-read', update }, noticedAt);
  const placementRequest = fixtures.aPlacementRequest({ excludedUpstreams: ['u-2'] });
  assert.is(
    fixtures.placedUpstream(state, placementRequest, fixtures.anInstant(2_250)),
    'none-usable',
  );
});

suite('most entries removed at once are kept even if this instance noticed no outage', () => {
  const listed = ['u-1', 'u-2', 'u-3', 'u-4'].map((id) => fixtures.aListedUpstream(id));
  const removedAfter = (removed: readonly string[]) => {
    const state = fixtures.aFleet(listed);
    const update = { changed: [], removed, isSnapshot: false };
    const noticedAt = fixtures.anInstant(1_000);
    core.fleet.decide(state, { type: 'fleet.upstream-list-read', update }, noticedAt);
    return state.registry.upstreams.get('u-1')?.registrationState.kind;
  };
  assert.is(removedAfter(['u-1', 'u-2', 'u-3']), 'missing');
  assert.is(removedAfter(['u-1', 'u-2']), 'gone');
});

/** Guards against losing every engine at the end of an outage that let all entries expire. */
suite('entries that all expired in an outage are kept for the whole grace period', () => {
  const listed = ['u-1', 'u-2', 'u-3'].map((id) => fixtures.aListedUpstream(id));
  const state = fixtures.aFleet(listed);
  const unavailable = { type: 'fleet.upstream-list-unavailable' as const };
  core.fleet.decide(state, unavailable, fixtures.anInstant(0));
  const update = { changed: [], removed: [], isSnapshot: true };
  const noticedAt = fixtures.anInstant(1_030);
  core.fleet.decide(state, { type: 'fleet.upstream-list-read', update }, noticedAt);
  const placeAt = (atMs: number) =>
    fixtures.placedUpstream(state, fixtures.aPlacementRequest(), fixtures.anInstant(atMs));
  assert.ok(['u-1', 'u-2', 'u-3'].includes(placeAt(2_900)));
  assert.is(placeAt(2_960), 'none-usable');
});

suite.run();
