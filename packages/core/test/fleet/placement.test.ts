import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: placement');

const TWO = [fixtures.aListedUpstream('u-1'), fixtures.aListedUpstream('u-2')];

function listedWith(id: string, version: number) {
  return fixtures.aListedUpstream(id, { models: [{ model: 'model-1', version }] });
}

function named(version: number, sinceMs: number) {
  return new Map([['model-1', { version, sinceMs }]]);
}

function other(id: string): string {
  return id === 'u-1' ? 'u-2' : 'u-1';
}

suite('requests that share context go to the same upstream', () => {
  const wishes = ['r-1', 'r-2', 'r-3'].map((requestId) =>
    fixtures.aPlacementRequest({ requestId }),
  );
  const places = wishes.map((wish) => fixtures.placedUpstream(fixtures.aFleet(TWO), wish));
  assert.is(new Set(places).size, 1);
});

suite('work that would begin too late is refused, unless its answer has begun', () => {
  const state = fixtures.aFleet(TWO);
  const place = (at: number, mayRefuse = true) =>
    fixtures.placedUpstream(state, fixtures.aPlacementRequest({ requestId: `r-${at}`, mayRefuse }));
  const places = Array.from({ length: 200 }, (_, at) => place(at));
  assert.is(places.at(-1), 'full');
  assert.ok(places.filter((each) => each !== 'full').length > 20);
  assert.is.not(place(201, false), 'full');
});

suite('engines that read slowly take less work before it is refused', () => {
  const taken = (tokensPerMs: number) => {
    const state = fixtures.aFleet(TWO, { prefillRates: new Map([['models', tokensPerMs]]) });
    const wishes = Array.from({ length: 100 }, (_, at) =>
      fixtures.aPlacementRequest({
        requestId: `r-${at}`,
        prompt: fixtures.aPrompt(`p-${at}`, 'own'),
      }),
    );
    return wishes.filter((wish) => fixtures.placedUpstream(state, wish) !== 'full').length;
  };
  assert.ok(taken(20) < taken(80));
});

suite('the rate at which engines read follows the time to the first event', () => {
  const state = fixtures.aFleet(TWO);
  const { prefillRate: readRate } = core.fleet;
  const work = { startedAtMs: 0, tokensToRead: 0, promptTokens: 0, hasFirstByte: true };
  const before = readRate.tokensPerMs(state, 'models');
  Array.from({ length: 60 }).forEach(() =>
    readRate.recordSample(
      state,
      'models',
      { ...work, tokensUntilFirstEvent: 20_000 },
      fixtures.anInstant(1_000),
    ),
  );
  assert.ok(Math.abs(readRate.tokensPerMs(state, 'models') - 20) < 1);
  readRate.recordSample(
    state,
    'models',
    { ...work, tokensUntilFirstEvent: 100 },
    fixtures.anInstant(1_000),
  );
  assert.ok(readRate.tokensPerMs(state, 'models') < before);
});

suite('an upstream with much work ahead is passed over', () => {
  const state = fixtures.aFleet(TWO);
  const first = fixtures.placedUpstream(state);
  const places = Array.from({ length: 6 }, (_, at) =>
    fixtures.placedUpstream(state, fixtures.aPlacementRequest({ requestId: `r-${at}` })),
  );
  assert.ok(places.includes(other(first)));
});

suite('no new work goes to an evacuated data centre, or to an excluded upstream', () => {
  const evacuated = fixtures.aFleet(TWO, { evacuatedDataCentres: new Set(['dc-1']) });
  assert.is(fixtures.placedUpstream(evacuated), 'none-usable');
  const wish = fixtures.aPlacementRequest({ excludedUpstreams: ['u-1'] });
  assert.is(fixtures.placedUpstream(fixtures.aFleet(TWO), wish), 'u-2');
});

suite('an upstream of another service or another model is never chosen', () => {
  const foreign = fixtures.aListedUpstream('u-1', { service: 'other' });
  const bare = fixtures.aListedUpstream('u-2', { models: [{ model: 'model-2', version: 1 }] });
  assert.is(fixtures.placedUpstream(fixtures.aFleet([foreign, bare])), 'none-usable');
});

suite('a silent upstream gets nothing until it answers again', () => {
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

suite('new work keeps away from the waves that take new weights now and next', () => {
  const listed = ['u-1', 'u-2', 'u-3', 'u-4'].map((id) => listedWith(id, 1));
  const state = fixtures.aFleet(listed, { targetVersions: named(2, 0) });
  const candidates = listed.map(({ id }) => ({ id, version: 1 }));
  const { current, next } = core.rollouts.chooseWaves('model-1', 2, candidates);
  const places = Array.from({ length: 12 }, (_, at) => {
    const prompt = fixtures.aPrompt(`p-${at}`, 'own');
    return fixtures.placedUpstream(
      state,
      fixtures.aPlacementRequest({ requestId: `r-${at}`, prompt }),
    );
  });
  [...current, ...next].forEach((id) => assert.not.ok(places.includes(id)));
});

suite('replaced weights serve on within the bound, and not after it', () => {
  const state = fixtures.aFleet([listedWith('u-1', 1)], { targetVersions: named(2, 0) });
  assert.is(
    fixtures.placedUpstream(state, fixtures.aPlacementRequest(), fixtures.anInstant(5_000)),
    'u-1',
  );
  assert.is(
    fixtures.placedUpstream(state, fixtures.aPlacementRequest(), fixtures.anInstant(7_900)),
    'none-usable',
  );
});

suite('weights that are named while the process runs are not taken for old ones', () => {
  const state = fixtures.aFleet([listedWith('u-1', 1)]);
  const hear = (given: core.fleet.state.State, versions: Record<string, number>, atMs: number) =>
    core.fleet.decide(
      given,
      { type: 'fleet.newest-weights-changed', versions },
      fixtures.anInstant(atMs),
    ).state;
  const roll = hear(hear(state, {}, 0), { 'model-1': 2 }, 20_000);
  assert.is(
    fixtures.placedUpstream(roll, fixtures.aPlacementRequest(), fixtures.anInstant(20_100)),
    'u-1',
  );
  const started = hear(state, { 'model-1': 2 }, 20_000);
  assert.is(
    fixtures.placedUpstream(started, fixtures.aPlacementRequest(), fixtures.anInstant(20_100)),
    'none-usable',
  );
});

suite('an upstream that rejected work is passed over while there are others', () => {
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
  'context of replaced weights is named for freeing a while after the last upstream has changed',
  () => {
    const listed = [listedWith('u-1', 1), listedWith('u-2', 2)];
    const start = fixtures.aFleet(listed, {
      targetVersions: named(2, 0),
      contextStores: [fixtures.aContextStore('a')],
    });
    const salt = core.sharedContext.salt.format({
      model: 'model-1',
      version: 1,
      isolatedAccount: undefined,
    });
    const part = { kind: 'complete' as const, salt, id: 'p', tokens: 10 };
    const news = { kind: 'listing' as const, epoch: 1, clockMs: 1, changes: [part] };
    core.sharedContext.inventory.applyUpdate(start.inventory, 'a', news, fixtures.anInstant());
    const freedAt = (state: core.fleet.state.State, atMs: number) => {
      const step = core.fleet.decide(state, { type: 'fleet.tick' }, fixtures.anInstant(atMs));
      const told = step.commands.find(({ kind }) => kind === 'report-obsolete-parts');
      return {
        state: step.state,
        parts: told?.kind === 'report-obsolete-parts' ? told.obsoleteParts.length : -1,
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

suite('the expected version and the salt follow the upstream’s own weights', () => {
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
