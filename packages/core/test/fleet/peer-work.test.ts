import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: work of other instances');

const TWO = [fixtures.aListedUpstream('u-1'), fixtures.aListedUpstream('u-2')];
const MEMBERS = ['instance-1', 'instance-2'];
const BUSY = { unreadTokens: 40_000, promptTokens: 40_000, requests: 8 };

function other(id: string): string {
  return id === 'u-1' ? 'u-2' : 'u-1';
}

function hear(
  state: core.fleet.state.State,
  note: Partial<core.fleet.peerWork.Update>,
  now = fixtures.anInstant(),
): core.fleet.state.State {
  const message = { type: 'fleet.peer-update' as const, update: fixtures.aPeerUpdate(note) };
  return core.fleet.decide(state, message, now).state;
}

suite('an upstream at which a peer has much work is passed over', () => {
  const first = fixtures.placedUpstream(fixtures.aFleet(TWO));
  const state = hear(fixtures.aFleet(TWO, { members: MEMBERS }), {
    work: [{ upstream: first, work: BUSY }],
  });
  assert.is(fixtures.placedUpstream(state), other(first));
});

suite('a whole note replaces what was told before, and a late one changes nothing', () => {
  const first = fixtures.placedUpstream(fixtures.aFleet(TWO));
  const busy = { work: [{ upstream: first, work: BUSY }] };
  const told = hear(fixtures.aFleet(TWO, { members: MEMBERS }), { ...busy, sentAtMs: 5 });
  const done = hear(told, { work: [], isSnapshot: true, sentAtMs: 6 });
  const late = hear(done, { ...busy, sentAtMs: 4 });
  assert.is(fixtures.placedUpstream(late), first);
});

suite('the work of a peer that fell silent, or began a new life, is forgotten', () => {
  const first = fixtures.placedUpstream(fixtures.aFleet(TWO));
  const busy = { work: [{ upstream: first, work: BUSY }] };
  const told = hear(fixtures.aFleet(TWO, { members: MEMBERS }), busy);
  const reborn = hear(told, { incarnation: 'life-2', work: [] });
  assert.is(fixtures.placedUpstream(reborn), first);
  const state = hear(fixtures.aFleet(TWO, { members: MEMBERS }), busy);
  const later = fixtures.anInstant(core.fleet.peerWork.STALE_AFTER_MS + 10);
  const silent = core.fleet.decide(state, { type: 'fleet.tick' }, later).state;
  assert.is(silent.peerWork.size, 0);
  assert.is(fixtures.placedUpstream(silent, fixtures.aPlacementRequest(), later), first);
});

suite('parts that a peer sent to an upstream draw the same context there', () => {
  const first = fixtures.placedUpstream(fixtures.aFleet(TWO));
  const salt = core.sharedContext.salt.format({
    model: 'model-1',
    version: 1,
    isolatedAccount: undefined,
  });
  const sent = [{ upstream: other(first), salt, parts: ['p0', 'p1'] }];
  const state = hear(fixtures.aFleet(TWO, { members: MEMBERS }), { sentParts: sent });
  assert.is(fixtures.placedUpstream(state), other(first));
});

suite('members that tell stand for those that do not', () => {
  const members = ['instance-1', 'instance-2', 'instance-3', 'instance-4'];
  const work = { unreadTokens: 100, promptTokens: 200, requests: 1 };
  const told = hear(fixtures.aFleet(TWO, { members }), { work: [{ upstream: 'u-1', work }] });
  const upstream = told.registry.upstreams.get('u-1');
  assert.ok(upstream);
  const estimate = core.fleet.queue.totalWork(told, upstream);
  assert.equal(estimate, { unreadTokens: 300, promptTokens: 600, requests: 3 });
});

suite('placements within one pause are told in one note', () => {
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
  const notes = commands.flatMap((each) => (each.kind === 'send-peer-update' ? [each.update] : []));
  assert.is(notes.length, 1);
  const [note] = notes;
  const requests = note?.work.reduce((sum, { work }) => sum + work.requests, 0);
  assert.is(requests, 2);
  assert.equal(
    note?.sentParts.map(({ parts }) => parts),
    [
      ['p0', 'p1'],
      ['p0', 'p1'],
    ],
  );
});

suite('whatever is told in whatever order, the sums are those of the newest notes', () => {
  const work = fc.record({
    unreadTokens: fc.nat(1_000),
    promptTokens: fc.nat(1_000),
    requests: fc.nat(10),
  });
  const note = fc.record({
    from: fc.constantFrom('instance-2', 'instance-3'),
    sentAtMs: fc.nat(20),
    isSnapshot: fc.constant(true),
    work: fc.array(fc.record({ upstream: fc.constantFrom('u-1', 'u-2'), work }), { maxLength: 1 }),
  });
  const property = fc.property(fc.array(note), (notes) => {
    const state = notes.reduce(
      (before, each) => hear(before, each),
      fixtures.aFleet(TWO, { members: MEMBERS }),
    );
    const newest = ['instance-2', 'instance-3'].flatMap((from) => {
      const own = notes.filter((each) => each.from === from);
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
