/**
 * What a reader passes on. Updates that are too large for one packet were lost on large deployments:
 * instances then knew nothing of the work at the engines, nor of the content of the stores.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('readers: what is passed on');
const { storeBatch, pieces } = core.readers;

type Change = core.sharedContext.inventory.PartChange;

const change: fc.Arbitrary<Change> = fc.oneof(
  fc.record({
    kind: fc.constant('complete' as const),
    salt: fc.constantFrom('salt-1', 'salt-2'),
    id: fc.constantFrom('p1', 'p2', 'p3', 'p4'),
    tokens: fc.nat(20_000),
  }),
  fc.record({
    kind: fc.constant('gone' as const),
    salt: fc.constantFrom('salt-1', 'salt-2'),
    id: fc.constantFrom('p1', 'p2', 'p3', 'p4'),
  }),
);

suite('every change of a batch is in one update, in order', () => {
  const update = fc.record({
    store: fc.constantFrom('a', 'b', 'c'),
    changes: fc.array(change, { maxLength: 120 }),
  });
  const property = fc.property(fc.array(update, { maxLength: 8 }), (updates) => {
    const empty: core.readers.storeBatch.Batch = new Map();
    const batch = updates.reduce(
      (before, { store, changes }) =>
        storeBatch.add(before, store, { kind: 'changes', epoch: 1, clockMs: 1, changes }),
      empty,
    );
    const split = storeBatch.split(batch);
    const changesOf = (store: string) =>
      split
        .flat()
        .flatMap((each) =>
          each.store === store && each.update.kind === 'changes' ? each.update.changes : [],
        );
    ['a', 'b', 'c'].forEach((store) => {
      const given = updates.filter((each) => each.store === store).flatMap((each) => each.changes);
      assert.equal(changesOf(store), given);
    });
  });
  fc.assert(property, fixtures.seeded(100));
});

suite('a store that restarted drops what was gathered before', () => {
  const before = storeBatch.add(new Map(), 'a', {
    kind: 'changes',
    epoch: 1,
    clockMs: 1,
    changes: [{ kind: 'complete', salt: 's', id: 'p', tokens: 5 }],
  });
  const after = storeBatch.add(before, 'a', {
    kind: 'changes',
    epoch: 2,
    clockMs: 2,
    changes: [],
  });
  assert.equal(after.get('a'), { kind: 'changes', epoch: 2, clockMs: 2, changes: [] });
});

function anObject(version: number): core.messages.StoredObject {
  return { key: `things/${version}`, version, value: version, writeId: '' };
}

suite('pieces of changes chain, so that a lost one is noticed', () => {
  const property = fc.property(
    fc.uniqueArray(fc.integer({ min: 11, max: 90 }), { maxLength: 30 }),
    (versions) => {
      const changes = {
        objectKind: 'things',
        since: 10,
        revision: 100,
        objects: versions.map(anObject),
        removed: ['things/old'],
      };
      const split = pieces.split(changes);
      assert.is(split[0]?.since, 10);
      assert.is(split.at(-1)?.revision, 100);
      split.slice(1).forEach((each, at) => assert.is(each.since, split[at]?.revision));
      split.forEach(({ objects, revision, since }) =>
        objects.forEach(({ version }) => assert.ok(version > since && version <= revision)),
      );
      assert.is(split.flatMap(({ objects }) => objects).length, versions.length);
      split.forEach(({ removed }) => assert.equal(removed, ['things/old']));
    },
  );
  fc.assert(property, fixtures.seeded(100));
});

const LOAD = { unreadTokens: 9_000, promptTokens: 12_000, requests: 2 };

/** A reader of a fleet with many engines, one of which its follower is busy at. */
function aReaderFleet(count: number) {
  const listed = Array.from({ length: count }, (_, at) => fixtures.aListedUpstream(`u-${at}`));
  const members = ['instance-1', 'instance-2', 'instance-3'];
  const reader = core.fleet.peerUpdates.withSharing(
    fixtures.aFleet(listed, { members }),
    'as-reader',
  );
  const update = fixtures.aPeerUpdate({ work: [{ upstream: 'u-7', work: LOAD }] });
  const heard = core.fleet.peerUpdates.receive(reader, update, fixtures.anInstant());
  return { listed, members, heard };
}

suite('a follower knows the work at every engine, whatever their number', () => {
  [8, 69, 98].forEach((count) => {
    const { listed, members, heard } = aReaderFleet(count);
    const sums = core.fleet.peerUpdates.takeSummaries(heard, fixtures.anInstant(100));
    const follower = core.fleet.peerUpdates.withSharing(
      { ...fixtures.aFleet(listed, { members }), instance: 'instance-3' },
      'through-reader',
    );
    const told = sums.reduce(
      (state, each) => core.fleet.peerUpdates.receive(state, each, fixtures.anInstant(110)),
      follower,
    );
    assert.equal(told.registry.upstreams.get('u-7')?.peerWork, LOAD, `${count} engines`);
    assert.is(core.fleet.peerUpdates.reportedPeers(told), 1);
  });
});

suite('the work that a follower itself has told is not counted twice', () => {
  const { listed, members, heard } = aReaderFleet(8);
  const sums = core.fleet.peerUpdates.takeSummaries(heard, fixtures.anInstant(100));
  const follower = core.fleet.peerUpdates.withSharing(
    { ...fixtures.aFleet(listed, { members }), instance: 'instance-2' },
    'through-reader',
  );
  follower.registry.upstreams.get('u-7')?.inFlight.set('r-1', {
    startedAtMs: 0,
    tokensToRead: LOAD.unreadTokens,
    promptTokens: LOAD.promptTokens,
    tokensUntilFirstEvent: LOAD.unreadTokens,
    hasFirstByte: false,
  });
  const told = sums.reduce(
    (state, each) => core.fleet.peerUpdates.receive(state, each, fixtures.anInstant(110)),
    follower,
  );
  assert.is(told.registry.upstreams.get('u-7')?.peerWork.unreadTokens, 0);
});

suite.run();
