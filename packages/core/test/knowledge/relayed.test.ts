/**
 * Guards against a follower that waits for ever for a reader which is in touch and yet does not follow one
 * kind of objects, and against one that misses a removal.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import type * as knowledge from '@medlarweir/core/knowledge';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('knowledge that a reader passes on');

const PACE: core.messages.WatchPacing = { waitMs: 1_000, pauseMs: 0, limitMs: 2_600 };
const kindsOf = (commands: readonly { kind: string }[]) => commands.map(({ kind }) => kind);

function aFollower() {
  const watch = fixtures.aWatch(PACE);
  watch.answer(fixtures.aPage(['a'], undefined, 10));
  watch.setRelayed(true);
  return watch;
}

suite('a follower asks the platform itself where its reader’s knowledge of the kind is old', () => {
  const watch = aFollower();
  assert.not.ok(kindsOf(watch.hearPosition(10, 10, 100, 200)).includes('fetch-updates'));
  assert.not.ok(kindsOf(watch.hearPosition(10, 10, 2_500, 2_400)).includes('fetch-updates'));
  const [asked] = watch.hearPosition(10, 10, 2_800, 300);
  assert.ok(asked?.kind === 'fetch-updates' && asked.waitMs === 1);
  assert.equal(kindsOf(watch.hearPosition(10, 10, 3_000, 200)), [], 'one question at a time');
  watch.answer(fixtures.anAnswer(11));
  assert.equal(kindsOf(watch.hearPosition(10, 10, 3_200, 200)), []);
});

/** Advances the clock; what the reader tells confirms nothing. */
function age(watch: ReturnType<typeof aFollower>, ms: number): void {
  watch.hearPosition(10, 10, ms, ms);
}

suite(
  'an instance that lost its reader asks at once, without waiting where its knowledge is old',
  () => {
    const watch = aFollower();
    age(watch, 1_700);
    const [asked] = watch.setRelayed(false);
    assert.ok(asked?.kind === 'fetch-updates' && asked.waitMs === 1);
    const [next] = watch
      .answer(fixtures.anAnswer(11))
      .filter(({ kind }) => kind === 'fetch-updates');
    assert.ok(next?.kind === 'fetch-updates' && next.waitMs === PACE.waitMs);
  },
);

/** Guards against a second call of each kind whenever an instance begins to read for itself. */
suite(
  'an instance whose knowledge is still fresh at the end of a wait asks at once, and waits',
  () => {
    const watch = aFollower();
    age(watch, 1_600);
    const [asked] = watch.setRelayed(false);
    assert.ok(asked?.kind === 'fetch-updates' && asked.waitMs === PACE.waitMs);
  },
);

suite(
  'what the reader told is not told again, and what it removed is back when it is written',
  () => {
    const watch = fixtures.aWatch({ ...PACE, heartbeatField: 'seq' });
    const entry = (seq: number) => ({ ...fixtures.aStoredObject('a', seq), value: { seq, up: 1 } });
    watch.answer({ kind: 'page', objects: [entry(1)], revision: 10, after: undefined });
    watch.setRelayed(true);
    watch.hearChanges({ since: 10, revision: 12, objects: [], removed: ['kind/a'] });
    assert.equal(watch.names(), []);
    watch.hearPosition(20, 20, 0);
    watch.answer({ kind: 'updates', objects: [entry(2)], removed: [], revision: 20 });
    assert.equal(watch.names(), ['a']);
  },
);

/** Guards against a cut call that counts as an outage for a failure of minutes ago. */
suite('a failed catch-up is forgotten once the reader confirms the kind', () => {
  const watch = aFollower();
  watch.hearPosition(12, 12, 0, 100);
  watch.answer(fixtures.FAILED_CALL, 10);
  watch.fireTimer(100);
  watch.hearPosition(10, 10, 0, 100);
  watch.hearPosition(14, 14, 0, 100);
  watch.answer(fixtures.FAILED_CALL, 10);
  assert.equal(
    watch.failures.map(({ isOutage }) => isOutage),
    [false, false],
  );
});

/** Guards against a change that seems younger than it is: weights that are used past their bound. */
suite('a first own call without a wait does not count as held to the end of one', () => {
  const watch = aFollower();
  age(watch, 2_000);
  watch.setRelayed(false);
  watch.answer(fixtures.anAnswer(11), 1_250);
  watch.answer(fixtures.anAnswer(12, ['b']), 10);
  assert.is(watch.updates.at(-1)?.unchangedAt.monotonicMs, 2_001);
});

/** Guards against an upstream that was removed and is used on, since a piece of the changes was lost or passed over. */
suite('a follower hears of a removal, wherever it stands and whichever piece is lost', () => {
  const objects = Array.from({ length: 6 }, (_, at) => fixtures.aStoredObject(`o-${at}`, 7 + at));
  const changes = { objectKind: 'kind', since: 5, revision: 20, objects, removed: ['kind/x'] };
  const pieces = core.readers.pieces.split(changes);
  const revisions = Array.from({ length: 15 }, (_, at) => 5 + at);
  assert.ok(pieces.length > 1);
  revisions.forEach((standsAt) => {
    revisions.forEach((removedAt) => {
      [undefined, ...pieces].forEach((lost) => {
        const watch = fixtures.aWatch(PACE);
        watch.answer(fixtures.aPage(standsAt < removedAt ? ['x'] : [], undefined, standsAt));
        watch.setRelayed(true);
        const hear = (commands: readonly knowledge.watches.Command[]) => {
          const asked = commands.find(({ kind }) => kind === 'fetch-updates');
          if (asked?.kind !== 'fetch-updates') return;
          const removed = asked.revision < removedAt ? ['x'] : [];
          watch.answer(fixtures.anAnswer(20, [], removed));
        };
        pieces.filter((piece) => piece !== lost).forEach((piece) => hear(watch.hearChanges(piece)));
        hear(watch.hearPosition(20, 20, 0));
        assert.not.ok(watch.names().includes('x'), `at ${standsAt}, removed at ${removedAt}`);
      });
    });
  });
});

/** A reader that has lost the history behind its watch, and the changes that it passes on. */
function relistedBy(reader: ReturnType<typeof fixtures.aWatch>, page: knowledge.watches.Answer) {
  reader.answer({ kind: 'revision-expired' });
  const commands = reader.answer(page);
  return commands.flatMap((each) => (each.kind === 'share-changes' ? [each.changes] : []));
}

function aReader(pace: core.messages.WatchPacing = { ...PACE, relaysContent: true }) {
  const watch = fixtures.aWatch(pace);
  watch.answer(fixtures.aPage(['a', 'b'], undefined, 10));
  return watch;
}

/** Guards against followers that all list a kind when the platform has dropped its history. */
suite('what a reader lists again reaches its followers as changes, removals included', () => {
  const written = { ...fixtures.aStoredObject('c', 18) };
  const page = { objects: [fixtures.aStoredObject('a'), written], revision: 20, after: undefined };
  const [changes] = relistedBy(aReader(), { kind: 'page', ...page });
  assert.ok(changes);
  const follower = fixtures.aWatch(PACE);
  follower.answer(fixtures.aPage(['a', 'b'], undefined, 10));
  follower.setRelayed(true);
  assert.equal(kindsOf(follower.hearChanges(changes)).includes('fetch-updates'), false);
  assert.equal([...follower.names()].sort(), ['a', 'c']);
  assert.not.ok(kindsOf(follower.hearPosition(20, 20, 0)).includes('fetch-updates'));
});

suite('a listing that changes nothing makes no follower ask', () => {
  const reader = aReader();
  reader.answer({ kind: 'revision-expired' });
  const commands = reader.answer(fixtures.aPage(['a', 'b'], undefined, 20));
  const told = commands.find((each) => each.kind === 'share-position');
  assert.ok(told?.kind === 'share-position');
  assert.equal([told.position.revision, told.position.changedAt], [20, 10]);
});

suite('a follower that knows less than the reader did before its listing asks the platform', () => {
  const page = { objects: [fixtures.aStoredObject('c', 18)], revision: 20, after: undefined };
  const [changes] = relistedBy(aReader(), { kind: 'page', ...page });
  assert.ok(changes);
  const follower = fixtures.aWatch(PACE);
  follower.answer(fixtures.aPage(['a'], undefined, 9));
  follower.setRelayed(true);
  assert.ok(kindsOf(follower.hearChanges(changes)).includes('fetch-updates'));
});

suite('contents that a reader may not pass on stay with it after a listing', () => {
  const page = { objects: [fixtures.aStoredObject('c', 18)], revision: 20, after: undefined };
  assert.equal(relistedBy(aReader(PACE), { kind: 'page', ...page }), []);
});

/** Guards against changes across a restore of the store, whose revisions do not follow each other. */
suite('a listing after the platform came back from an old copy is not passed on as changes', () => {
  const revision = 3 * 2 ** 40;
  const page = fixtures.aPage(['a', 'c'], undefined, revision);
  assert.equal(relistedBy(aReader(), page), []);
});

suite.run();
