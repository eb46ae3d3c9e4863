/**
 * Guards against an instance that is cut off from all upstreams and sends a request to each before it knows, and
 * against one that takes the failure of some upstreams for a cut, or pays for probes in normal operation.
 */
import type * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: reach of upstreams');
const { aReachWorld } = fixtures;

const CUT_AT_MS = 10_000;
/** The cut begins at any moment between two ticks. */
const OFFSETS_MS = Array.from({ length: 10 }, (_, at) => at * 50 + 1);

function aCutWorld(upstreams: number, offsetMs = 1) {
  const cut = aReachWorld(upstreams);
  cut.sim.advance(CUT_AT_MS + offsetMs);
  cut.world.isCut = true;
  return cut;
}

[4, 40].forEach((upstreams) =>
  suite(`a cut from ${upstreams} upstreams is found within 1.5 s`, () => {
    OFFSETS_MS.forEach((offsetMs) => {
      const { sim, changes } = aCutWorld(upstreams, offsetMs);
      sim.advance(1_500);
      assert.equal(
        changes.map(({ kind }) => kind),
        ['cut-off'],
        `${offsetMs}`,
      );
    });
  }),
);

suite('the end of a cut is known with the first byte, and requests are placed again', () => {
  const { sim, world, changes, tell, state } = aCutWorld(40);
  sim.advance(6_000);
  const placed = () => fixtures.placedUpstream(state(), undefined, fixtures.anInstant(sim.nowMs()));
  assert.is(placed(), 'cut-off');
  world.isCut = false;
  tell({
    type: 'fleet.upstream-responded',
    upstream: 'u-0',
    requestId: undefined,
    selfReport: undefined,
  });
  assert.equal(changes.at(-1), { atMs: sim.nowMs(), kind: 'reaches' });
  assert.match(placed(), /^u-/);
});

/** Guards against an end that is noticed only by requests, of which a cut instance sends none. */
suite('without requests, probes find the end of a cut by the next tick', () => {
  [4, 40].forEach((upstreams) => {
    const { sim, world, changes } = aCutWorld(upstreams);
    sim.advance(6_000);
    world.isCut = false;
    sim.advance(600);
    assert.is(changes.at(-1)?.kind, 'reaches');
  });
});

suite('one crashed upstream is no cut, nor is half of them', () => {
  [1, 2, 20].forEach((crashed) => {
    const { sim, world, changes } = aReachWorld(crashed * 2 + 2);
    sim.advance(CUT_AT_MS);
    Array.from({ length: crashed }, (_, at) => world.down.add(`u-${at}`));
    sim.advance(8_000);
    assert.equal(changes, []);
  });
});

suite('normal operation has no probes: usual traffic, none, and single slow requests', () => {
  [aReachWorld(40), aReachWorld(40, 0), aReachWorld(40, 0.5, 850)].forEach(({ sim, probes }) => {
    sim.advance(20_000);
    assert.equal(probes, []);
  });
});

/** Guards against an idle instance that takes each failed health probe for new evidence. */
suite('a crashed upstream of an idle instance costs no further probes, and is no cut', () => {
  const { sim, world, changes, probes, tell } = aReachWorld(40, 0);
  ['u-0', 'u-1', 'u-2'].forEach((upstream) => {
    world.down.add(upstream);
    tell({ type: 'fleet.attempt-ended', requestId: 'r', upstream, outcome: 'unreachable' });
    sim.advance(2_000);
  });
  sim.advance(60_000);
  assert.equal(changes, []);
  assert.ok(probes.filter(({ kind }) => kind === 'liveness').length <= 12);
});

suite('of 500 upstreams, at most four are probed in 500 ms', () => {
  const { sim, probes, changes } = aCutWorld(500);
  sim.advance(12_000);
  const sentAtMs = probes.flatMap(({ kind, atMs }) => (kind === 'liveness' ? [atMs] : []));
  assert.is(changes.length, 1);
  sentAtMs.forEach((fromMs) =>
    assert.ok(sentAtMs.filter((atMs) => atMs >= fromMs && atMs < fromMs + 500).length <= 4),
  );
});

function aFleetOfTwoServices(): core.fleet.state.State {
  const services = new Map(['models', 'other'].map((name) => [name, fixtures.aService({ name })]));
  return fixtures.aFleet(
    [
      fixtures.aListedUpstream('u-1'),
      fixtures.aListedUpstream('u-2'),
      fixtures.aListedUpstream('o-1', { service: 'other' }),
    ],
    { services },
  );
}

suite('where all of one service are found silent, it is cut off; the other service is not', () => {
  const state = aFleetOfTwoServices();
  const fail = (upstream: string) =>
    fixtures.decided(state, {
      type: 'fleet.attempt-ended',
      requestId: 'r',
      upstream,
      outcome: 'unreachable',
    });
  fail('u-1');
  const tried = fixtures.aPlacementRequest({ excludedUpstreams: ['u-1'] });
  assert.is(fixtures.placedUpstream(state, tried), 'u-2');
  fail('u-2');
  assert.is(fixtures.placedUpstream(state, tried), 'cut-off');
  const other = fixtures.aPlacementRequest({ service: 'other' });
  assert.is(fixtures.placedUpstream(state, other), 'o-1');
});

suite('silence that only peers have found, or that awaits a first probe, is no cut', () => {
  const reported = aFleetOfTwoServices();
  ['u-1', 'u-2'].forEach((id) => reported.silence.reported.set(id, 0));
  assert.is(fixtures.placedUpstream(reported), 'none-usable');
  const returned = aFleetOfTwoServices();
  returned.registry.upstreams.forEach((each) =>
    Object.assign(each, { reachability: { kind: 'silent' } }),
  );
  assert.is(fixtures.placedUpstream(returned), 'none-usable');
});

suite.run();
