/** Guards against queues at plain services that nobody predicts, and against refusals without a queue. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('speed: plain services');

const SERVED_MS = 50;
const IDS = ['u-1', 'u-2', 'u-3'];

/** A fleet that has learned the service time, at 10,000 ms. */
function aLearnedFleet(changed: Partial<core.fleet.state.State> = {}): core.fleet.state.State {
  const state = fixtures.aPlainFleet(IDS, changed);
  for (let at = 0; at < 30; at += 1) {
    const requestId = `r-${at}`;
    const startMs = at * 100;
    const upstream = place(state, { requestId }, startMs);
    const ended = fixtures.anInstant(startMs + SERVED_MS);
    const selfReport = fixtures.signals();
    const { decided } = fixtures;
    decided(state, { type: 'fleet.upstream-responded', upstream, requestId, selfReport }, ended);
    decided(
      state,
      { type: 'fleet.attempt-ended', upstream, requestId, outcome: 'answered' },
      ended,
    );
  }
  return state;
}

function place(
  state: core.fleet.state.State,
  changed: Partial<core.fleet.placement.Request>,
  atMs: number,
): string {
  const request = fixtures.aPlacementRequest({
    prompt: undefined,
    latencyTargetMs: 150,
    ...changed,
  });
  return fixtures.placedUpstream(state, request, fixtures.anInstant(atMs));
}

function setPeerRequests(state: core.fleet.state.State, requests: number, ids = IDS): void {
  ids.forEach((id) => {
    const upstream = state.registry.upstreams.get(id);
    if (upstream) upstream.peerWork = { unreadTokens: 0, promptTokens: 0, requests };
  });
}

function waitMs(state: core.fleet.state.State, requests: number): number {
  setPeerRequests(state, requests);
  const service = state.services.get('models');
  const upstream = state.registry.upstreams.get('u-1');
  if (!service || !upstream) throw new Error('the fleet has no such upstream');
  const placementRequest = fixtures.aPlacementRequest({ prompt: undefined });
  const inputs = { state, service, placementRequest, now: fixtures.anInstant(10_000) };
  return core.speed.plainWait(inputs, upstream).waitMs;
}

/** One peer reports, so that the work in flight is known. */
function aReportingPeer(): Partial<core.fleet.state.State> {
  const report = { ...fixtures.aPeerUpdate(), receivedAtMs: 10_000, work: new Map() };
  return {
    members: ['instance-1', 'instance-2'],
    peerWork: new Map([['instance-2', report]]),
  };
}

suite('the wait is that of a queue for several servers', () => {
  const state = aLearnedFleet(aReportingPeer());
  const waits = [0, 3, 6, 12, 24].map((requests) => waitMs(state, requests));
  assert.ok((waits[0] ?? 1) < 1 && (waits[1] ?? 1) < 2, JSON.stringify(waits));
  // Of 24 requests, 19 have to end first, at 6 in each service time.
  assert.ok(Math.abs((waits[4] ?? 0) - (19 / 6) * SERVED_MS) < 20, JSON.stringify(waits));
  assert.equal(
    waits,
    [...waits].sort((a, b) => a - b),
  );
});

suite('what no upstream can begin in time is refused at once, and nothing else', () => {
  const state = aLearnedFleet(aReportingPeer());
  setPeerRequests(state, 60);
  assert.is(place(state, { requestId: 'late' }, 10_000), 'full');
  setPeerRequests(state, 2, ['u-2']);
  assert.is(place(state, { requestId: 'in-time' }, 10_000), 'u-2');
  setPeerRequests(state, 60);
  const begun = place(state, { requestId: 'begun', mayRefuse: false }, 10_000);
  assert.ok(IDS.includes(begun), begun);
});

suite('a load that was just reported counts more than the work that peers told of', () => {
  const state = aLearnedFleet(aReportingPeer());
  setPeerRequests(state, 3);
  const load = { running: 6, waiting: 40, slots: 6 };
  const answer = (upstream: string) => ({
    type: 'fleet.upstream-responded' as const,
    upstream,
    requestId: undefined,
    selfReport: fixtures.signals({ load }),
  });
  ['u-1', 'u-3'].forEach((id) => fixtures.decided(state, answer(id), fixtures.anInstant(10_000)));
  assert.is(place(state, { requestId: 'fresh' }, 10_001), 'u-2');
  const waits = [10_000, 20_000].map((atMs) => {
    const service = state.services.get('models');
    const upstream = state.registry.upstreams.get('u-1');
    if (!service || !upstream) throw new Error('the fleet has no such upstream');
    const placementRequest = fixtures.aPlacementRequest({ prompt: undefined });
    const inputs = { state, service, placementRequest, now: fixtures.anInstant(atMs) };
    return core.speed.plainWait(inputs, upstream).waitMs;
  });
  assert.ok((waits[0] ?? 0) > 250 && (waits[1] ?? 1) < 5, JSON.stringify(waits));
});

suite('without predictive load control nothing is refused for its queue', () => {
  const state = aLearnedFleet({ ...aReportingPeer(), features: new Set() });
  setPeerRequests(state, 60);
  assert.ok(IDS.includes(place(state, { requestId: 'as-before' }, 10_000)));
});

suite.run();
