/**
 * The pattern "everybody goes where it was empty": many instances, each with few requests, know the work
 * at the engines only as it was some hundred milliseconds ago.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: placement on stale load');

const ENGINES = 69;
const MEMBERS = 195;
const REQUESTS_PER_S = 570;
const TOKENS_PER_MS = 50;
const REFRESH_MS = 400;
const RUN_MS = 6_000;
const SESSIONS = 7_700;
/** Every sixth prompt is long, as on the users' sheets. */
const LONG_TOKENS = 11_000;
const SHORT_TOKENS = 2_200;

/** A large fleet in which every instance sees the same summed work. */
function aLargeFleet(sharing: core.fleet.peerWork.Sharing): core.fleet.state.State {
  const listed = Array.from({ length: ENGINES }, (_, at) => fixtures.aListedUpstream(`u-${at}`));
  const report = {
    ...fixtures.aPeerUpdate({ scope: 'fleet', instances: MEMBERS }),
    receivedAtMs: 0,
    work: new Map(),
  };
  return fixtures.aFleet(listed, {
    sharing,
    members: Array.from({ length: MEMBERS }, (_, at) => `instance-${at}`),
    peerWork: new Map([['reader', report]]),
    prefillRates: new Map([['models', TOKENS_PER_MS]]),
  });
}

function aPrompt(at: number) {
  const draw = core.membership.hashFraction('session', String(at));
  const tokens = at % 6 === 0 ? LONG_TOKENS : SHORT_TOKENS;
  return {
    model: 'model-1',
    parts: [
      { id: `session-${Math.floor(draw * SESSIONS)}`, tokens: tokens / 2 },
      { id: 'own', tokens: tokens / 2 },
    ],
  };
}

/** The time that each request waits for the work ahead of it, in ms, sorted. */
function waitsMs(sharing: core.fleet.peerWork.Sharing): readonly number[] {
  const state = aLargeFleet(sharing);
  const freeAtMs = new Map<string, number>();
  const backlogMs = (id: string, nowMs: number) => Math.max(0, (freeAtMs.get(id) ?? 0) - nowMs);
  const refresh = (nowMs: number) => {
    state.peerWork.forEach((report) => Object.assign(report, { receivedAtMs: nowMs }));
    state.registry.upstreams.forEach((upstream, id) => {
      const unreadTokens = backlogMs(id, nowMs) * TOKENS_PER_MS;
      const requests = unreadTokens > 0 ? 1 : 0;
      Object.assign(upstream, {
        peerWork: { unreadTokens, promptTokens: unreadTokens, requests },
      });
    });
  };
  const count = (REQUESTS_PER_S * RUN_MS) / 1_000;
  const waits = Array.from({ length: count }, (_, at) => {
    const nowMs = (at * 1_000) / REQUESTS_PER_S;
    if (
      Math.floor(nowMs / REFRESH_MS) !== Math.floor((nowMs - 1_000 / REQUESTS_PER_S) / REFRESH_MS)
    ) {
      refresh(nowMs);
    }
    const requestId = `r-${at}`;
    const placementRequest = fixtures.aPlacementRequest({ requestId, prompt: aPrompt(at) });
    const id = fixtures.placedUpstream(state, placementRequest, fixtures.anInstant(nowMs));
    // Another instance places the next request, and does not see this one before the refresh.
    state.registry.upstreams.get(id)?.inFlight.delete(requestId);
    const waitMs = backlogMs(id, nowMs);
    const tokens = at % 6 === 0 ? LONG_TOKENS : SHORT_TOKENS;
    freeAtMs.set(id, nowMs + waitMs + tokens / TOKENS_PER_MS);
    return waitMs;
  });
  return [...waits].sort((a, b) => a - b);
}

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}

suite('requests that compare a few upstreams wait less than those that compare all', () => {
  const all = waitsMs('with-all');
  const sampled = waitsMs('through-reader');
  const shown = [all, sampled].map((each) =>
    [0.5, 0.9, 0.99].map((share) => quantile(each, share)),
  );
  assert.ok(quantile(sampled, 0.9) < quantile(all, 0.9), JSON.stringify(shown));
  assert.ok(quantile(sampled, 0.99) < quantile(all, 0.99), JSON.stringify(shown));
});

suite('all upstreams are compared once those of the sample are full', () => {
  const state = aLargeFleet('through-reader');
  const busy = { unreadTokens: 1_000_000, promptTokens: 1_000_000, requests: 9 };
  state.registry.upstreams.forEach((upstream, id) => {
    if (id !== 'u-33') Object.assign(upstream, { peerWork: busy });
  });
  const places = Array.from({ length: 20 }, (_, at) => {
    const requestId = `r-${at}`;
    const place = fixtures.placedUpstream(state, fixtures.aPlacementRequest({ requestId }));
    state.registry.upstreams.get(place)?.inFlight.delete(requestId);
    return place;
  });
  assert.equal([...new Set(places)], ['u-33']);
});

suite.run();
