/** Guards against requests to an upstream that has said that it is leaving, whatever the platform's list says. */
import * as fixtures from '@medlarweir/core/fixtures';
import type * as core from '@medlarweir/core';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: upstreams that say that they leave');

const ENTRY = fixtures.aListedUpstream('u-1');

/** A fleet whose only upstream has answered a request with the news. */
function aFleetThatWasTold(): core.fleet.state.State {
  const state = fixtures.aFleet([ENTRY]);
  fixtures.placedUpstream(state);
  return fixtures.decided(state, {
    type: 'fleet.upstream-responded',
    upstream: 'u-1',
    requestId: 'request-1',
    selfReport: fixtures.signals({ isLeaving: true }),
  });
}

function list(
  state: core.fleet.state.State,
  changed: readonly core.fleet.upstream.Registration[],
  removed: readonly string[] = [],
): core.fleet.state.State {
  const update = { changed, removed, isSnapshot: false };
  return fixtures.decided(state, { type: 'fleet.upstream-list-read', update });
}

const nextRequest = fixtures.aPlacementRequest({ requestId: 'request-2' });

suite('it gets no further request', () => {
  assert.is(fixtures.placedUpstream(aFleetThatWasTold(), nextRequest), 'none-usable');
});

suite('a later answer without the news does not take it back', () => {
  const state = fixtures.decided(aFleetThatWasTold(), {
    type: 'fleet.upstream-responded',
    upstream: 'u-1',
    requestId: 'request-1',
    selfReport: fixtures.signals(),
  });
  assert.is(fixtures.placedUpstream(state, nextRequest), 'none-usable');
});

suite('the list does not take it back: an entry that is ready, removed, or written anew', () => {
  const removed = list(list(aFleetThatWasTold(), [ENTRY]), [], ['u-1']);
  const back = list(removed, [ENTRY]);
  const probe = { kind: 'health' as const, upstream: 'u-1', address: 'u-1:1', path: '/health' };
  const probed = fixtures.decided(back, {
    type: 'fleet.probe-finished',
    probe,
    result: { kind: 'healthy', coldMs: undefined },
  });
  assert.is(fixtures.placedUpstream(probed, nextRequest), 'none-usable');
});

suite('its next incarnation gets requests', () => {
  const state = list(aFleetThatWasTold(), [{ ...ENTRY, incarnationStartedAtMs: 2 }]);
  assert.is(fixtures.placedUpstream(state, nextRequest), 'u-1');
});

suite('an answer of an earlier incarnation does not exclude the next one', () => {
  const state = fixtures.aFleet([ENTRY]);
  fixtures.placedUpstream(state);
  const restarted = list(state, [{ ...ENTRY, incarnationStartedAtMs: 2 }]);
  const told = fixtures.decided(restarted, {
    type: 'fleet.upstream-responded',
    upstream: 'u-1',
    requestId: 'request-1',
    selfReport: fixtures.signals({ isLeaving: true }),
  });
  assert.is(fixtures.placedUpstream(told, nextRequest), 'u-1');
});

suite.run();
