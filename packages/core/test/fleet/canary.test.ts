/** Placement while a service is moved to a new software version. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: canary releases');

const REQUESTS = 4_000;
const ORDER_DELAY_MS = 4_000;

function anUpstream(id: string, softwareVersion: string, startedAtMs: number) {
  return fixtures.aListedUpstream(id, {
    softwareVersion,
    incarnationStartedAtMs: startedAtMs,
    models: [{ model: 'model-1', version: 1 }],
  });
}

/** Two old upstreams and two of a version that is listed later. */
function aFleet(releases?: readonly core.canary.Release[]): core.fleet.state.State {
  const bounds = { ...fixtures.FLEET_BOUNDS, exposureShare: 0.1, exposureSlack: 0 };
  const state = fixtures.aFleet([], { bounds, canary: core.canary.applied.create(bounds) });
  const listed = [anUpstream('u-1', 'v1', 1), anUpstream('u-2', 'v1', 1)];
  const later = [anUpstream('n-1', 'v2', 2), anUpstream('n-2', 'v2', 2)];
  const list = (changed: typeof listed, isSnapshot: boolean): core.messages.FleetMessage => ({
    type: 'fleet.upstream-list-read',
    update: { changed, removed: [], isSnapshot },
  });
  fixtures.decided(state, list(listed, true));
  fixtures.decided(state, list(later, false));
  if (releases) fixtures.decided(state, { type: 'fleet.releases-changed', releases });
  return state;
}

function aRelease(stage: core.canary.Stage, share: number): core.canary.Release {
  return { service: 'models', to: 'v2', step: 0, stage, share, shunned: [] };
}

type Changes = Partial<core.fleet.placement.Request>;

function place(
  state: core.fleet.state.State,
  requestId: string,
  changed: Changes = {},
  now = fixtures.anInstant(),
): string {
  const request = fixtures.aPlacementRequest({
    requestId,
    prompt: undefined,
    mayRefuse: false,
    ...changed,
  });
  return fixtures.placedUpstream(state, request, now);
}

function shareOfNew(state: core.fleet.state.State, now = fixtures.anInstant()): number {
  const placed = Array.from({ length: REQUESTS }, (_, at) => place(state, `r-${at}`, {}, now));
  return placed.filter((id) => id.startsWith('n')).length / REQUESTS;
}

/** Guards against a share that grows with the number of new upstreams. */
suite('an unproven version gets its small share, a shifted one all', () => {
  const unproven = shareOfNew(aFleet([aRelease('unproven', 0.085)]));
  assert.ok(unproven > 0.07 && unproven <= 0.1, String(unproven));
  assert.is(shareOfNew(aFleet([aRelease('shifted', 1)])), 1);
  assert.is(shareOfNew(aFleet([aRelease('stopped', 0)])), 0);
});

/** Guards against callers that choose ids which all go to the new version. */
suite('no choice of ids gets an unproven version more than the limit', () => {
  const assigned = aFleet([aRelease('unproven', 1)]);
  const share = shareOfNew(assigned);
  assert.ok(share > 0.09 && share <= 0.1, String(share));
});

/** Guards against retries that count twice, and against lost requests where the new version turns them away. */
suite('a request that the new version turned away goes to the old one', () => {
  const state = aFleet([aRelease('shifting', 1)]);
  const first = place(state, 'r-1');
  assert.match(first, /^n/);
  assert.match(place(state, 'r-1', { excludedUpstreams: [first] }), /^u/);
});

suite(
  'without a usable upstream of its side, only a request of the new side goes elsewhere',
  () => {
    const gone = (ids: readonly string[], stage: core.canary.Stage) => {
      const state = aFleet([aRelease(stage, 1)]);
      ids.forEach((id) => {
        const upstream = state.registry.upstreams.get(id);
        if (upstream) upstream.reachability = { kind: 'silent' };
      });
      return state;
    };
    assert.match(place(gone(['n-1', 'n-2'], 'shifting'), 'r-1'), /^u/);
    assert.is(place(gone(['u-1', 'u-2'], 'stopped'), 'r-1'), 'none-usable');
    assert.is(place(gone(['n-1', 'n-2'], 'shifted'), 'r-1'), 'none-usable');
  },
);

/** Guards against streams that are joined from two versions. */
suite('a resumed stream keeps its version, whatever the release says', () => {
  const stopped = aFleet([aRelease('stopped', 0)]);
  assert.match(place(stopped, 'r-1', { softwareVersion: 'v2' }), /^n/);
  const shifted = aFleet([aRelease('shifted', 1)]);
  assert.match(place(shifted, 'r-1', { softwareVersion: 'v1' }), /^u/);
});

/** Guards against traffic to new upstreams before their order is heard, and against ordinary releases that stall. */
suite('a version that appears without an order waits for one, then takes its part', () => {
  assert.is(shareOfNew(aFleet()), 0, 'the orders are not known yet');
  assert.is(shareOfNew(aFleet([])), 0, 'an order may be on its way');
  const later = fixtures.anInstant(ORDER_DELAY_MS);
  assert.ok(shareOfNew(aFleet([]), later) > 0.2);
  const alone = aFleet([]);
  alone.registry.upstreams.forEach((upstream) => {
    if (upstream.registration.softwareVersion === 'v1') {
      Object.assign(upstream, { reachability: { kind: 'silent' } });
    }
  });
  assert.match(place(alone, 'r-1'), /^n/);
});

/** Guards against a third version that takes the old side's requests before its own order is heard. */
suite('a version that appears beside a release waits for an order too', () => {
  const stages = ['unproven', 'closed'] as const;
  stages.forEach((stage) => {
    const state = aFleet([aRelease(stage, 0.085)]);
    const changed = [anUpstream('x-1', 'v3', 3), anUpstream('x-2', 'v3', 3)];
    const update = { changed, removed: [], isSnapshot: false };
    fixtures.decided(state, { type: 'fleet.upstream-list-read', update });
    const placedAt = (now: core.kernel.Instant) =>
      Array.from({ length: 200 }, (_, at) => place(state, `${stage}-${at}`, {}, now));
    assert.not(placedAt(fixtures.anInstant(100)).some((id) => id.startsWith('x')));
    const later = placedAt(fixtures.anInstant(ORDER_DELAY_MS + 100));
    assert.ok(later.some((id) => id.startsWith('x')));
  });
});

suite('versions are not told apart without a limit on exposure', () => {
  const state = fixtures.aFleet([anUpstream('u-1', 'v1', 1), anUpstream('n-1', 'v2', 2)]);
  assert.ok(shareOfNew(state) > 0.2);
});

suite.run();
