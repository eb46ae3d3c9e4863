/** Which weights an upstream is believed to have: a wrong belief leaves it out of a rollout. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: believed weights');

type State = core.fleet.state.State;

const NOW = fixtures.anInstant(1_000);

function entryOf(version: number, incarnationStartedAtMs = 1): core.fleet.upstream.Registration {
  const models = [{ model: 'model-1', version }];
  return fixtures.aListedUpstream('u-1', { models, incarnationStartedAtMs });
}

function list(state: State, entry: core.fleet.upstream.Registration): void {
  const update = { changed: [entry], removed: [], isSnapshot: false };
  core.fleet.decide(state, { type: 'fleet.upstream-list-read', update }, NOW);
}

function answer(state: State, version: number, requestId: string | undefined): void {
  const selfReport = fixtures.signals({ version: { model: 'model-1', version } });
  core.fleet.decide(
    state,
    { type: 'fleet.upstream-responded', upstream: 'u-1', requestId, selfReport },
    NOW,
  );
}

function believed(state: State): number | undefined {
  return state.registry.upstreams.get('u-1')?.versions.get('model-1');
}

/** Guards against an upstream that is never ordered to load: its earlier incarnation had newer weights. */
suite('an answer to a request of an earlier incarnation says nothing about the weights', () => {
  const state = fixtures.aFleet([entryOf(2)]);
  fixtures.placedUpstream(state);
  list(state, entryOf(1, 2));
  answer(state, 2, 'request-1');
  assert.is(believed(state), 1);
  fixtures.placedUpstream(state);
  answer(state, 2, 'request-1');
  assert.is(believed(state), 2);
});

/** Guards against an upstream that is never ordered to load: a late order brought older weights back. */
suite(
  'an entry that names older weights than the entry before is believed, a late entry is not',
  () => {
    const state = fixtures.aFleet([entryOf(1)]);
    answer(state, 2, undefined);
    list(state, entryOf(1));
    assert.is(believed(state), 2, 'the entry was written before the answer');
    list(state, entryOf(2));
    list(state, entryOf(1));
    assert.is(believed(state), 1);
  },
);

/** Guards against weights, and work in flight, that are taken from an upstream's earlier incarnation. */
suite('an entry of an earlier incarnation changes nothing', () => {
  const state = fixtures.aFleet([entryOf(1, 2)]);
  fixtures.placedUpstream(state);
  list(state, entryOf(2, 1));
  list(state, entryOf(1, 2));
  assert.is(believed(state), 1);
  assert.is(state.registry.upstreams.get('u-1')?.inFlight.size, 1);
});

suite.run();
