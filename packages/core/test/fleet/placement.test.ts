/** Placement decisions: which upstream a request goes to, and when it is refused. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: placement');

const TWO = [fixtures.aListedUpstream('u-1'), fixtures.aListedUpstream('u-2')];

function listedWith(id: string, version: number) {
  return fixtures.aListedUpstream(id, { models: [{ model: 'model-1', version }] });
}

function targets(version: number, sinceMs: number) {
  return new Map([['model-1', core.rollouts.targets.create(version, fixtures.anInstant(sinceMs))]]);
}

function other(id: string): string {
  return id === 'u-1' ? 'u-2' : 'u-1';
}

suite('requests that share context are placed at the same upstream', () => {
  const requests = ['r-1', 'r-2', 'r-3'].map((requestId) =>
    fixtures.aPlacementRequest({ requestId }),
  );
  const places = requests.map((placementRequest) =>
    fixtures.placedUpstream(fixtures.aFleet(TWO), placementRequest),
  );
  assert.is(new Set(places).size, 1);
});

suite('a request that would wait too long is refused, unless its answer has begun', () => {
  const state = fixtures.aFleet(TWO);
  const place = (at: number, mayRefuse = true) =>
    fixtures.placedUpstream(state, fixtures.aPlacementRequest({ requestId: `r-${at}`, mayRefuse }));
  const places = Array.from({ length: 200 }, (_, at) => place(at));
  assert.is(places.at(-1), 'full');
  assert.ok(places.filter((each) => each !== 'full').length > 20);
  assert.is.not(place(201, false), 'full');
});

suite('fewer requests are accepted at engines with a lower prefill rate', () => {
  const countAccepted = (tokensPerMs: number) => {
    const state = fixtures.aFleet(TWO, { prefillRates: new Map([['models', tokensPerMs]]) });
    const requests = Array.from({ length: 100 }, (_, at) =>
      fixtures.aPlacementRequest({
        requestId: `r-${at}`,
        prompt: fixtures.aPrompt(`p-${at}`, 'own'),
      }),
    );
    return requests.filter(
      (placementRequest) => fixtures.placedUpstream(state, placementRequest) !== 'full',
    ).length;
  };
  assert.ok(countAccepted(20) < countAccepted(80));
});

suite('the prefill rate follows the time to first event', () => {
  const state = fixtures.aFleet(TWO);
  const { prefillRate } = core.fleet;
  const work = { startedAtMs: 0, tokensToRead: 0, promptTokens: 0, hasFirstByte: true };
  const before = prefillRate.tokensPerMs(state, 'models');
  Array.from({ length: 60 }).forEach(() =>
    prefillRate.recordSample(
      state,
      'models',
      { ...work, tokensUntilFirstEvent: 20_000 },
      fixtures.anInstant(1_000),
    ),
  );
  assert.ok(Math.abs(prefillRate.tokensPerMs(state, 'models') - 20) < 1);
  prefillRate.recordSample(
    state,
    'models',
    { ...work, tokensUntilFirstEvent: 100 },
    fixtures.anInstant(1_000),
  );
  assert.ok(prefillRate.tokensPerMs(state, 'models') < before);
});

suite('requests move to another upstream as work accumulates at the first', () => {
  const state = fixtures.aFleet(TWO);
  const first = fixtures.placedUpstream(state);
  const places = Array.from({ length: 6 }, (_, at) =>
    fixtures.placedUpstream(state, fixtures.aPlacementRequest({ requestId: `r-${at}` })),
  );
  assert.ok(places.includes(other(first)));
});

suite('evacuated data centres and excluded upstreams receive no new work', () => {
  const evacuated = fixtures.aFleet(TWO, { evacuatedDataCentres: new Set(['dc-1']) });
  assert.is(fixtures.placedUpstream(evacuated), 'none-usable');
  const placementRequest = fixtures.aPlacementRequest({ excludedUpstreams: ['u-1'] });
  assert.is(fixtures.placedUpstream(fixtures.aFleet(TWO), placementRequest), 'u-2');
});

suite('an upstream of another service or model is never chosen', () => {
  const otherService = fixtures.aListedUpstream('u-1', { service: 'other' });
  const otherModel = fixtures.aListedUpstream('u-2', {
    models: [{ model: 'model-2', version: 1 }],
  });
  assert.is(fixtures.placedUpstream(fixtures.aFleet([otherService, otherModel])), 'none-usable');
});

suite('a silent upstream receives no requests until it answers again', () => {
  const state = fixtures.aFleet(TWO);
  const first = fixtures.placedUpstream(state);
  const known = state.registry.upstreams.get(first);
  const now = fixtures.anInstant(10);
  if (known) core.fleet.upstreamHealth.recordOutcome(known, 'request-1', 'unreachable', now);
  assert.is(fixtures.placedUpstream(state, fixtures.aPlacementRequest(), now), other(first));
  if (known) core.fleet.upstreamHealth.recordRecovery(known, 0, now);
  const later = fixtures.anInstant(60_000);
  assert.is(
    fixtures.placedUpstream(state, fixtures.aPlacementRequest({ requestId: 'r-2' }), later),
    first,
  );
});

suite('the current and next rollout waves receive no new work while others are available', () => {
  const listed = ['u-1', 'u-2', 'u-3', 'u-4'].map((id) => listedWith(id, 1));
  const state = fixtures.aFleet(listed, { targetVersions: targets(2, 0) });
  const candidates = listed.map(({ id }) => ({ id, version: 1 }));
  const { current, next } = core.rollouts.chooseWaves(
    'model-1',
    core.rollouts.targets.create(2, fixtures.anInstant()),
    candidates,
    { now: fixtures.anInstant(), rolloutMs: fixtures.FLEET_BOUNDS.rolloutMs },
  );
  const places = Array.from({ length: 12 }, (_, at) => {
    const prompt = fixtures.aPrompt(`p-${at}`, 'own');
    return fixtures.placedUpstream(
      state,
      fixtures.aPlacementRequest({ requestId: `r-${at}`, prompt }),
    );
  });
  [...current, ...next].forEach((id) => assert.not.ok(places.includes(id)));
});

suite('outdated weights serve requests within the rollout bound, and not after it', () => {
  const state = fixtures.aFleet([listedWith('u-1', 1)], { targetVersions: targets(2, 0) });
  assert.is(
    fixtures.placedUpstream(state, fixtures.aPlacementRequest(), fixtures.anInstant(5_000)),
    'u-1',
  );
  assert.is(
    fixtures.placedUpstream(state, fixtures.aPlacementRequest(), fixtures.anInstant(7_900)),
    'none-usable',
  );
});

/**
 * Guards against the request that waited at an engine with replaced weights and began there after the
 * bound: the second version, named two seconds later, had started the time anew.
 */
suite('a second version does not extend the time on weights that the first one replaced', () => {
  const named = core.rollouts.targets.update(
    targets(2, 0),
    { 'model-1': 3 },
    fixtures.anInstant(2_000),
  );
  const state = fixtures.aFleet([listedWith('u-1', 1), listedWith('u-2', 2)], {
    targetVersions: named,
  });
  const place = (atMs: number) =>
    fixtures.placedUpstream(state, fixtures.aPlacementRequest(), fixtures.anInstant(atMs));
  assert.is(place(7_900), 'u-2');
  assert.is(place(9_900), 'none-usable');
});

suite('a request goes to outdated weights only if it begins there within the bound', () => {
  const busyWith = (tokens: number) => {
    const state = fixtures.aFleet([listedWith('u-1', 1)], { targetVersions: targets(2, 0) });
    const upstream = state.registry.upstreams.get('u-1');
    const peerWork = { unreadTokens: tokens, promptTokens: tokens, requests: 1 };
    if (upstream) Object.assign(upstream, { peerWork });
    const reports = new Map([
      ['instance-2', { ...fixtures.aPeerUpdate(), receivedAtMs: 0, work: new Map() }],
    ]);
    return { ...state, members: ['instance-1', 'instance-2'], peerWork: reports };
  };
  const place = (tokens: number, atMs: number) =>
    fixtures.placedUpstream(
      busyWith(tokens),
      fixtures.aPlacementRequest(),
      fixtures.anInstant(atMs),
    );
  assert.is(place(30_000, 5_000), 'u-1');
  assert.is(place(0, 6_900), 'u-1');
  assert.is.not(place(30_000, 6_900), 'u-1');
});

suite(
  'a target version set while the process runs counts as new, one found at start as old',
  () => {
    const state = fixtures.aFleet([listedWith('u-1', 1)]);
    const applyTargets = (
      given: core.fleet.state.State,
      versions: Record<string, number>,
      atMs: number,
      namedAfter = fixtures.anInstant(atMs),
    ) =>
      core.fleet.decide(
        given,
        { type: 'fleet.target-versions-changed', versions, namedAfter },
        fixtures.anInstant(atMs),
      ).state;
    const rolled = applyTargets(applyTargets(state, {}, 0), { 'model-1': 2 }, 20_000);
    assert.is(
      fixtures.placedUpstream(rolled, fixtures.aPlacementRequest(), fixtures.anInstant(20_100)),
      'u-1',
    );
    const started = applyTargets(state, { 'model-1': 2 }, 20_000, fixtures.BEFORE_ALL_TIME);
    assert.is(
      fixtures.placedUpstream(started, fixtures.aPlacementRequest(), fixtures.anInstant(20_100)),
      'none-usable',
    );
  },
);

suite('an upstream that rejected work is avoided while others are available', () => {
  const state = fixtures.aFleet(TWO);
  const first = fixtures.placedUpstream(state);
  const known = state.registry.upstreams.get(first);
  const now = fixtures.anInstant(10);
  if (known) core.fleet.upstreamHealth.recordOutcome(known, 'request-1', 'rejected', now);
  const places = Array.from({ length: 5 }, (_, at) =>
    fixtures.placedUpstream(state, fixtures.aPlacementRequest({ requestId: `r-${at}` }), now),
  );
  assert.not.ok(places.includes(first));
});

suite(
  'obsolete context is reported for freeing after a grace period once no upstream has its weights',
  () => {
    const listed = [listedWith('u-1', 1), listedWith('u-2', 2)];
    const start = fixtures.aFleet(listed, {
      targetVersions: targets(2, 0),
      contextStores: [fixtures.aContextStore('a')],
    });
    const salt = core.sharedContext.salt.format({
      model: 'model-1',
      version: 1,
      isolatedAccount: undefined,
    });
    const part = { kind: 'complete' as const, salt, id: 'p', tokens: 10 };
    const update = { kind: 'listing' as const, epoch: 1, clockMs: 1, changes: [part] };
    core.sharedContext.inventory.applyUpdate(start.inventory, 'a', update, fixtures.anInstant());
    const freedAt = (state: core.fleet.state.State, atMs: number) => {
      const step = core.fleet.decide(state, { type: 'fleet.tick' }, fixtures.anInstant(atMs));
      const reported = step.commands.find(({ kind }) => kind === 'report-obsolete-parts');
      return {
        state: step.state,
        parts: reported?.kind === 'report-obsolete-parts' ? reported.obsoleteParts.length : -1,
      };
    };
    const before = freedAt(start, 10_000);
    assert.is(before.parts, 0);
    const last = before.state.registry.upstreams.get('u-1');
    if (last) core.fleet.upstream.recordVersion(last, 'model-1', 2);
    const changed = freedAt(before.state, 10_500);
    assert.is(changed.parts, 0);
    const settling = freedAt(changed.state, 11_900);
    assert.is(settling.parts, 0);
    assert.is(freedAt(settling.state, 12_100).parts, 1);
  },
);

suite('the expected version and the salt use the weights of the chosen upstream', () => {
  const state = fixtures.aFleet([listedWith('u-1', 4)]);
  const placed = core.fleet.placement.place(
    state,
    fixtures.aPlacementRequest(),
    fixtures.anInstant(),
  );
  const context = placed.kind === 'placed' ? placed.destination.context : undefined;
  assert.is(context?.expectedVersion, 4);
  assert.is(core.sharedContext.salt.parse(context?.salt ?? '')?.version, 4);
});

suite.run();
