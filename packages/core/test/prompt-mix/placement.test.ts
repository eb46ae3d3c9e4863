/** Guards against long prompts that hold up short ones, or each other, while other upstreams are free. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('prompt mix: placement');

type State = core.fleet.state.State;
type Kind = fixtures.Kind;

const NOW_MS = fixtures.LEARNED_AT_MS;
const PEERS: Partial<State> = {
  sharing: 'through-reader',
  members: ['instance-1', 'instance-2', 'instance-3'],
};

function at(nowMs = NOW_MS) {
  return fixtures.anInstant(nowMs);
}

function place(state: State, kind: Kind, id: string, nowMs = NOW_MS) {
  const request = fixtures.aMixedRequest(kind, id);
  const placed = core.fleet.placement.place(state, request, at(nowMs));
  if (placed.kind === 'none') throw new Error(`not placed: ${placed.reason}`);
  return placed;
}

function placeAll(state: State, kind: Kind, count: number): readonly string[] {
  return Array.from(
    { length: count },
    (_, each) => place(state, kind, `${kind}-${each}`).destination.upstream,
  );
}

function hearing(state: State, work: core.fleet.peerWork.Update['work'], nowMs = NOW_MS): State {
  const update = fixtures.aPeerUpdate({ scope: 'fleet', instances: 3, sentAtMs: nowMs, work });
  return fixtures.decided(state, { type: 'fleet.peer-update', update }, at(nowMs));
}

/** Long prompts of peers in flight, which have been prefilled. */
function answering(requests: number): core.fleet.peerWork.InFlightWork {
  return { requests, promptTokens: requests * 12_000, unreadTokens: 0 };
}

/** Plays ticks over which peers tell the same. */
function settled(state: State, work: core.fleet.peerWork.Update['work']): State {
  return Array.from({ length: 40 }).reduce((given: State, _, step): State => {
    const nowMs = NOW_MS + step * 500;
    const heard = hearing(given, work, nowMs);
    return fixtures.decided(heard, { type: 'fleet.tick' }, at(nowMs));
  }, state);
}

suite('long prompts at once go to an upstream each, while others have none in prefill', () => {
  const placed = placeAll(fixtures.aMixedFleet(6), 'long', 6);
  assert.is(new Set(placed).size, 6);
});

suite(
  'few long prompts, one after the other, stay on the upstreams that hold their shared part',
  () => {
    const state = fixtures.aMixedFleet(12, 3, PEERS);
    const placed = Array.from({ length: 8 }, (_, each) => {
      const nowMs = NOW_MS + each * 200;
      const { upstream } = place(state, 'long', `long-${each}`, nowMs).destination;
      fixtures.ended(state, upstream, `long-${each}`, nowMs + 100);
      return upstream;
    });
    assert.ok(new Set(placed).size <= 2);
  },
);

suite(
  'many long prompts spread down their order of preference, as far as the load takes them',
  () => {
    const state = fixtures.aMixedFleet(12, 3, PEERS);
    const ids = [...state.registry.upstreams.keys()];
    const levels = (loaded: readonly string[]) => ({
      levels: new Map(
        ids.map((id) => [id, { short: 0, long: loaded.includes(id) ? 4 : 0 }] as const),
      ),
      inFlight: { short: 0, long: loaded.length * 4 },
    });
    const choose = (loaded: readonly string[]) => [
      ...core.promptMix.preference.choose(levels(loaded), 'long', 'part', ids).first,
    ];
    const [first = '', second = ''] = choose([]);
    const [third = '', fourth = ''] = choose([first, second]);
    assert.is(new Set([first, second, third, fourth]).size, 4);
    assert.equal(choose(ids), [first, second]);
  },
);

suite('a short prompt avoids the upstream at which a long one is in prefill', () => {
  const state = fixtures.aMixedFleet(2);
  const { upstream } = place(state, 'long', 'long-1').destination;
  placeAll(state, 'short', 2).forEach((each) => assert.is.not(each, upstream));
});

suite(
  'a long prompt goes where fewer short ones are expected, and the journal tells the cost',
  () => {
    const state = fixtures.aMixedFleet(2);
    const mix = state.promptMixes.get('models');
    const usual = place(state, 'long', 'long-1');
    fixtures.ended(state, usual.destination.upstream, 'long-1', NOW_MS + 1);
    mix?.levels.set(usual.destination.upstream, { short: 3, long: 0 });
    const other = place(state, 'long', 'long-2', NOW_MS + 2);
    assert.is.not(other.destination.upstream, usual.destination.upstream);
    const { size, boundaryTokens = 0 } = other.mix ?? {};
    assert.is(size, 'long');
    assert.ok(boundaryTokens > 2_400 && boundaryTokens <= 12_000);
  },
);

suite(
  'the own part of a prompt is always prefilled, the shared one only where it is missing',
  () => {
    const state = fixtures.aMixedFleet(2, 3, PEERS);
    const { tokensToRead } = place(state, 'long', 'long-1').destination.expected;
    assert.ok(tokensToRead >= 2_900 && tokensToRead < 3_200);
    const request = fixtures.aMixedRequest('long', 'long-2', {
      prompt: fixtures.aMixedPrompt('long', 'long-2', 'rare-part'),
    });
    const placed = core.fleet.placement.place(state, request, at());
    const rareTokens = placed.kind === 'placed' ? placed.destination.expected.tokensToRead : 0;
    assert.ok(rareTokens > tokensToRead);
  },
);

suite('a preference never costs more than the shared part that is prefilled again', () => {
  const state = fixtures.aMixedFleet(2);
  const cached = place(state, 'long', 'long-1').destination.upstream;
  fixtures.ended(state, cached, 'long-1', NOW_MS + 1);
  const other = cached === 'u-0' ? 'u-1' : 'u-0';
  state.registry.upstreams.get(other)?.recentlySentParts.clear();
  state.promptMixes.get('models')?.parts.clear();
  state.promptMixes.get('models')?.levels.set(cached, { short: 0.1, long: 0 });
  assert.is(place(state, 'long', 'long-2', NOW_MS + 2).destination.upstream, cached);
});

suite('a preferred upstream that goes away is replaced at once, and its level is forgotten', () => {
  const state = fixtures.aMixedFleet(6, 3, PEERS);
  const gone = place(state, 'long', 'long-1').destination.upstream;
  const lost = fixtures.decided(
    state,
    { type: 'fleet.attempt-ended', upstream: gone, requestId: 'long-1', outcome: 'unreachable' },
    at(NOW_MS + 5),
  );
  placeAll(lost, 'long', 4).forEach((each) => assert.is.not(each, gone));
  lost.registry.upstreams.delete(gone);
  const later = fixtures.decided(lost, { type: 'fleet.tick' }, at(NOW_MS + 500));
  assert.not.ok(later.promptMixes.get('models')?.levels.has(gone));
});

suite('with silent peers, own work alone still keeps long prompts apart', () => {
  const work = [{ upstream: 'u-0', work: answering(4) }];
  const state = settled(fixtures.aMixedFleet(6, 3, PEERS), work);
  const silentMs = NOW_MS + 40 * 500 + core.fleet.peerWork.STALE_AFTER_MS;
  const silent = fixtures.decided(state, { type: 'fleet.tick' }, at(silentMs));
  const placed = Array.from(
    { length: 4 },
    (_, each) => place(silent, 'long', `long-${each}`, silentMs).destination.upstream,
  );
  assert.is(new Set(placed).size, 4);
});

suite('peers’ long prompts in flight move the preference elsewhere', () => {
  const state = fixtures.aMixedFleet(6, 3, PEERS);
  const first = place(state, 'long', 'long-1').destination.upstream;
  fixtures.ended(state, first, 'long-1', NOW_MS + 1);
  const loaded = settled(state, [{ upstream: first, work: answering(8) }]);
  const nowMs = NOW_MS + 40 * 500;
  assert.is.not(place(loaded, 'long', 'long-2', nowMs).destination.upstream, first);
});

suite(
  'services without predictive load control, or with prompts all alike, are placed as before',
  () => {
    const plain = fixtures.aMixedFleet(4, 3, { features: new Set() });
    assert.is(place(plain, 'long', 'long-1').mix, undefined);
    assert.equal(place(plain, 'long', 'long-2').destination.turn, { kind: 'by-rank' });
    assert.is(plain.promptMixes.size, 0);
    const alike = fixtures.aMixedFleet(4, 0);
    assert.is(place(alike, 'short', 'short-1').mix, undefined);
  },
);

suite.run();
