/** Guards against callers refused because small prompts took the places of upstreams that name limits. */
import type * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: places at upstreams that name limits');

const [LIMITED, OTHER] = ['u-1', 'u-2'];

/** Tokens of prompts ahead at the other upstream; it reads them in 300 ms. */
const WORK_AHEAD: core.fleet.peerWork.InFlightWork = {
  unreadTokens: 300 * 68,
  promptTokens: 300 * 68,
  requests: 2,
};

function aFleet(): core.fleet.state.State {
  const listed = [LIMITED, OTHER].map((id) => fixtures.aListedUpstream(id));
  const state = fixtures.aFleet(listed, {
    members: ['instance-1', 'instance-2'],
    meanPromptTokens: new Map([['models', 4_000]]),
  });
  const limited = state.registry.upstreams.get(LIMITED);
  if (limited) limited.namedLimit = { perS: 5, heardAtMs: 0 };
  return state;
}

function withWorkAhead(state: core.fleet.state.State): core.fleet.state.State {
  const update: core.fleet.peerWork.Update = {
    from: 'instance-2',
    scope: 'own',
    instances: 1,
    incarnation: 'life-2',
    sentAtMs: 1,
    isSnapshot: true,
    work: [{ upstream: OTHER, work: WORK_AHEAD }],
    sentParts: [],
  };
  return fixtures.decided(state, { type: 'fleet.peer-update', update });
}

function placedWith(state: core.fleet.state.State, tokens: number): string {
  const prompt = { model: 'model-1', parts: [{ id: 'own', tokens }] };
  return fixtures.placedUpstream(state, fixtures.aPlacementRequest({ prompt }));
}

suite('a large prompt takes the place while others wait elsewhere, a small one does not', () => {
  assert.is(placedWith(withWorkAhead(aFleet()), 12_000), LIMITED);
  assert.is(placedWith(withWorkAhead(aFleet()), 1_000), OTHER);
});

suite('a small prompt takes the place where it would be refused elsewhere', () => {
  const state = withWorkAhead(aFleet());
  const prompt = { model: 'model-1', parts: [{ id: 'own', tokens: 1_000 }] };
  const request = fixtures.aPlacementRequest({ prompt, latencyTargetMs: 200 });
  assert.is(fixtures.placedUpstream(state, request), LIMITED);
});

suite.run();
