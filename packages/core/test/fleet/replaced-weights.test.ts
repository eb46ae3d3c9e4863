/** Requests must not be sent to an upstream on which they would begin too late after its weights were replaced. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: replaced weights');

type State = core.fleet.state.State;

const { rolloutMs } = fixtures.FLEET_BOUNDS;

/** A fleet whose only upstream has version 1, and which knew of no newer one at time 0. */
function aFleetOnVersionOne(): State {
  const state = fixtures.aFleet([fixtures.aListedUpstream('u-1')]);
  return learn(state, 1, fixtures.BEFORE_ALL_TIME, fixtures.anInstant());
}

function learn(
  state: State,
  version: number,
  namedAfter: core.kernel.Instant,
  now: core.kernel.Instant,
): State {
  const versions = { 'model-1': version };
  const message = { type: 'fleet.target-versions-changed' as const, versions, namedAfter };
  return core.fleet.decide(state, message, now).state;
}

function placedAt(state: State, now: core.kernel.Instant): string {
  return fixtures.placedUpstream(state, fixtures.aPlacementRequest(), now);
}

/** Guards against requests past the bound from an instance that was frozen, or lost its watch, at the naming. */
suite('a version that was learned late counts from when it can have been named', () => {
  const learned = learn(aFleetOnVersionOne(), 2, fixtures.anInstant(0), fixtures.anInstant(4_000));
  assert.is(placedAt(learned, fixtures.anInstant(4_100)), 'u-1');
  assert.is(placedAt(learned, fixtures.anInstant(rolloutMs - 100)), 'none-usable');
});

/** Guards against requests past the bound from a machine whose monotonic clock stood still in a suspension. */
suite('the time of a suspension counts', () => {
  const named = learn(aFleetOnVersionOne(), 2, fixtures.anInstant(0), fixtures.anInstant(10));
  const { wallMs } = fixtures.anInstant(rolloutMs);
  assert.is(placedAt(named, { monotonicMs: 4_000, wallMs }), 'none-usable');
});

/** Guards against giving upstreams on version 1 the time of version 3 where version 2 was never heard of. */
suite('a version that was skipped leaves no more time than was known', () => {
  const skipped = learn(
    aFleetOnVersionOne(),
    3,
    fixtures.anInstant(500),
    fixtures.anInstant(6_000),
  );
  assert.is(placedAt(skipped, fixtures.anInstant(rolloutMs + 400)), 'none-usable');
});

suite.run();
