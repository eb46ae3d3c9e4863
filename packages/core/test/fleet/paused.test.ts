/** Guards against requests and probes to an upstream that has turned one away and named a time. */
import * as fixtures from '@medlarweir/core/fixtures';
import * as core from '@medlarweir/core';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: upstreams that want nothing for a time');

const PAUSE_MS = 4_000;

function aFleetThatWasTold(pauseMs = PAUSE_MS): core.fleet.state.State {
  const state = fixtures.aFleet([fixtures.aListedUpstream('u-1')]);
  fixtures.placedUpstream(state);
  return told(state, pauseMs);
}

function told(state: core.fleet.state.State, pauseMs: number, atMs = 0): core.fleet.state.State {
  const message = {
    type: 'fleet.upstream-responded' as const,
    upstream: 'u-1',
    requestId: 'request-1',
    selfReport: fixtures.signals({ pauseMs }),
  };
  return fixtures.decided(state, message, fixtures.anInstant(atMs));
}

function placedAt(state: core.fleet.state.State, atMs: number) {
  const request = fixtures.aPlacementRequest({ requestId: `request-${atMs}` });
  return core.fleet.placement.place(state, request, fixtures.anInstant(atMs));
}

/** The probes of a tick, after the upstream has fallen silent. */
function probesAt(state: core.fleet.state.State, atMs: number): number {
  const upstream = state.registry.upstreams.get('u-1');
  if (upstream) upstream.reachability = { kind: 'silent' };
  const { commands } = core.fleet.decide(state, { type: 'fleet.tick' }, fixtures.anInstant(atMs));
  return commands.filter(({ kind }) => kind === 'probe').length;
}

suite('it gets nothing until the end of the time, which callers are told', () => {
  const state = aFleetThatWasTold();
  const refused = placedAt(state, PAUSE_MS - 100);
  assert.is(refused.kind === 'none' && refused.reason, 'paused');
  assert.is(refused.kind === 'none' && refused.freeInMs, 100);
  assert.is(placedAt(state, PAUSE_MS).kind, 'placed');
});

suite('a shorter time that is named later does not end the longer one', () => {
  const state = told(aFleetThatWasTold(), 500, 1_000);
  assert.is(placedAt(state, PAUSE_MS - 100).kind, 'none');
});

suite('probes wait for the end of the time as well', () => {
  assert.is(probesAt(aFleetThatWasTold(), PAUSE_MS - 100), 0);
  assert.is(probesAt(aFleetThatWasTold(), PAUSE_MS), 1);
});

suite('a probe that is turned away pauses the probes', () => {
  const state = fixtures.aFleet([fixtures.aListedUpstream('u-1')]);
  const probe = { kind: 'health' as const, upstream: 'u-1', address: 'u-1:1', path: '/health' };
  const result = { kind: 'unhealthy' as const, reason: 'status 503', pauseMs: PAUSE_MS };
  const paused = fixtures.decided(state, { type: 'fleet.probe-finished', probe, result });
  assert.is(probesAt(paused, PAUSE_MS - 100), 0);
});

suite.run();
