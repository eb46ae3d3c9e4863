/** Updates about work of peers: order, loss and staleness must not distort where requests are placed. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: work of peers');

const TWO = [fixtures.aListedUpstream('u-1'), fixtures.aListedUpstream('u-2')];
const MEMBERS = ['instance-1', 'instance-2'];
const BUSY = { unreadTokens: 40_000, promptTokens: 40_000, requests: 8 };

function other(id: string): string {
  return id === 'u-1' ? 'u-2' : 'u-1';
}

function applyUpdate(
  state: core.fleet.state.State,
  update: Partial<core.fleet.peerWork.Update>,
  now = fixtures.anInstant(),
): core.fleet.state.State {
  const message = { type: 'fleet.peer-update' as const, update: fixtures.aPeerUpdate(update) };
  return core.fleet.decide(state, message, now).state;
}

suite('an upstream with much work of a peer is avoided', () => {
  const first = fixtures.placedUpstream(fixtures.aFleet(TWO));
  const state = applyUpdate(fixtures.aFleet(TWO, { members: MEMBERS }), {
    work: [{ upstream: first, work: BUSY }],
  });
  assert.is(fixtures.placedUpstream(state), other(first));
});

suite('a snapshot replaces the peer’s previous report, and a late update is ignored', () => {
  const first = fixtures.placedUpstream(fixtures.aFleet(TWO));
  const busy = { work: [{ upstream: first, work: BUSY }] };
  const reported = applyUpdate(fixtures.aFleet(TWO, { members: MEMBERS }), {
    ...busy,
    sentAtMs: 5,
  });
  const emptied = applyUpdate(reported, { work: [], isSnapshot: true, sentAtMs: 6 });
  const late = applyUpdate(emptied, { ...busy, sentAtMs: 4 });
  assert.is(fixtures.placedUpstream(late), first);
});

suite('the work of a peer that is stale or has a new incarnation is dropped', () => {
  const first = fixtures.placedUpstream(fixtures.aFleet(TWO));
  const busy = { work: [{ upstream: first, work: BUSY }] };
  const reported = applyUpdate(fixtures.aFleet(TWO, { members: MEMBERS }), busy);
  const restarted = applyUpdate(reported, { incarnation: 'life-2', work: [] });
  assert.is(fixtures.placedUpstream(restarted), first);
  const state = applyUpdate(fixtures.aFleet(TWO, { members: MEMBERS }), busy);
  const later = fixtures.anInstant(core.fleet.peerWork.STALE_AFTER_MS + 10);
  const silent = core.fleet.decide(state, { type: 'fleet.tick' }, later).state;
  assert.is(silent.peerWork.size, 0);
  assert.is(fixtures.placedUpstream(silent, fixtures.aPlacementRequest(), later), first);
});

suite('requests that share parts which a peer sent to an upstream are placed there', () => {
  const first = fixtures.placedUpstream(fixtures.aFleet(TWO));
  const salt = core.sharedContext.salt.format({
    model: 'model-1',
    version: 1,
    isolatedAccount: undefined,
  });
  const sent = [{ upstream: other(first), salt, parts: ['p0', 'p1'] }];
  const state = applyUpdate(fixtures.aFleet(TWO, { members: MEMBERS }), { sentParts: sent });
  assert.is(fixtures.placedUpstream(state), other(first));
});

suite('work of peers that report is extrapolated to members that do not', () => {
  const members = ['instance-1', 'instance-2', 'instance-3', 'instance-4'];
  const work = { unreadTokens: 100, promptTokens: 200, requests: 1 };
  const reported = applyUpdate(fixtures.aFleet(TWO, { members }), {
    work: [{ upstream: 'u-1', work }],
  });
  const upstream = reported.registry.upstreams.get('u-1');
  assert.ok(upstream);
  const estimate = core.fleet.queue.totalWork(reported, upstream);
  assert.equal(estimate, { unreadTokens: 300, promptTokens: 600, requests: 3 });
});

suite('placements within one interval are sent in one peer update', () => {
  const state = fixtures.aFleet(TWO, { members: MEMBERS });
  const place = (requestId: string) =>
    core.fleet.decide(
      state,
      {
        type: 'fleet.place',
        placementRequest: fixtures.aPlacementRequest({ requestId }),
        replyTo: { send: () => {} },
      },
      fixtures.anInstant(),
    ).commands;
  const scheduled = ['r-1', 'r-2']
    .flatMap(place)
    .filter(({ kind }) => kind === 'schedule-peer-update');
  assert.is(scheduled.length, 1);
  const { commands } = core.fleet.decide(
    state,
    { type: 'fleet.publish-work' },
    fixtures.anInstant(40),
  );
  const sent = commands.flatMap((each) => (each.kind === 'send-peer-update' ? [each.update] : []));
  assert.is(sent.length, 1);
  const [update] = sent;
  const requests = update?.work.reduce((sum, { work }) => sum + work.requests, 0);
  assert.is(requests, 2);
  assert.equal(
    update?.sentParts.map(({ parts }) => parts),
    [
      ['p0', 'p1'],
      ['p0', 'p1'],
    ],
  );
});

suite('total work is that of each peer’s newest update, whatever the order of arrival', () => {
  const work = fc.record({
    unreadTokens: fc.nat(1_000),
    promptTokens: fc.nat(1_000),
    requests: fc.nat(10),
  });
  const update = fc.record({
    from: fc.constantFrom('instance-2', 'instance-3'),
    sentAtMs: fc.nat(20),
    isSnapshot: fc.constant(true),
    work: fc.array(fc.record({ upstream: fc.constantFrom('u-1', 'u-2'), work }), { maxLength: 1 }),
  });
  const property = fc.property(fc.array(update), (updates) => {
    const state = updates.reduce(
      (before, each) => applyUpdate(before, each),
      fixtures.aFleet(TWO, { members: MEMBERS }),
    );
    const newest = ['instance-2', 'instance-3'].flatMap((from) => {
      const own = updates.filter((each) => each.from === from);
      const latestMs = Math.max(...own.map(({ sentAtMs }) => sentAtMs));
      return own.filter(({ sentAtMs }) => sentAtMs === latestMs).slice(0, 1);
    });
    const expected = newest
      .flatMap((each) => each.work)
      .filter(({ upstream }) => upstream === 'u-1')
      .reduce((sum, each) => sum + each.work.requests, 0);
    assert.is(state.registry.upstreams.get('u-1')?.peerWork.requests, expected);
  });
  fc.assert(property, { seed: 20_261_204, numRuns: 200 });
});

suite.run();
