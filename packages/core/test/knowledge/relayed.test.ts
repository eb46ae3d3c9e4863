/**
 * Guards against a follower that waits for ever for a reader which is in touch and yet does not follow one
 * kind of objects, and against one that misses a removal.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
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

suite('an instance that lost its reader asks at once, without waiting for changes', () => {
  const watch = aFollower();
  const [asked] = watch.setRelayed(false);
  assert.ok(asked?.kind === 'fetch-updates' && asked.waitMs === 1);
  const [next] = watch.answer(fixtures.anAnswer(11)).filter(({ kind }) => kind === 'fetch-updates');
  assert.ok(next?.kind === 'fetch-updates' && next.waitMs === PACE.waitMs);
});

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

suite('no piece covers a removal that it lacks', () => {
  const objects = Array.from({ length: 6 }, (_, at) => fixtures.aStoredObject(`o-${at}`, 7 + at));
  const changes = { objectKind: 'kind', since: 5, revision: 20, objects, removed: ['kind/x'] };
  const [first, ...others] = core.readers.pieces.split(changes);
  assert.equal(first?.removed, ['kind/x']);
  assert.ok(others.every(({ removed }) => removed.length === 0));
});

suite.run();
