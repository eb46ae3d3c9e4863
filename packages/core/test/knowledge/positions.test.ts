/**
 * Guards against knowledge that goes back: an evacuation that is lifted, or an upstream that is used
 * again, since an answer that was behind what the instance already knew was taken for news.
 */
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('knowledge never goes back');

const kindsOf = (commands: readonly { kind: string }[]) => commands.map(({ kind }) => kind);

suite('a listing that is behind what is known changes nothing, and is asked for again', () => {
  const watch = fixtures.aWatch();
  watch.answer(fixtures.aPage([], undefined, 10));
  watch.answer(fixtures.anAnswer(20, ['dc-2']));
  watch.answer({ kind: 'revision-expired' });
  const commands = watch.answer(fixtures.aPage([], undefined, 15));
  assert.equal(watch.names(), ['dc-2']);
  assert.equal(kindsOf(commands), ['record-behind', 'poll-later']);
  assert.equal(kindsOf(watch.fireTimer(100)), ['fetch-page']);
  watch.answer(fixtures.aPage([], undefined, 25));
  assert.equal(watch.names(), []);
});

suite('the position of a listing is that of its first page', () => {
  const watch = fixtures.aWatch();
  watch.answer(fixtures.aPage(['a'], 'a', 10));
  const commands = watch.answer(fixtures.aPage(['b'], undefined, 20));
  const next = commands.find((each) => each.kind === 'fetch-updates');
  assert.is(next?.kind === 'fetch-updates' && next.revision, 10);
});

suite('a listing whose second page failed begins anew', () => {
  const watch = fixtures.aWatch();
  watch.answer(fixtures.aPage(['a'], 'a', 10));
  watch.answer(fixtures.FAILED_CALL);
  const [again] = watch.fireTimer(100);
  assert.is(again?.kind === 'fetch-page' && again.after, undefined);
});

suite('an own answer that is older than what the reader told only confirms', () => {
  const watch = fixtures.aWatch();
  watch.answer(fixtures.aPage(['dc-2'], undefined, 10));
  watch.setRelayed(true);
  watch.hearChanges({ since: 10, revision: 12, objects: [], removed: ['kind/dc-2'] });
  const objects = [fixtures.aStoredObject('dc-2', 15)];
  watch.hearChanges({ since: 12, revision: 15, objects, removed: [] });
  watch.answer(fixtures.anAnswer(12, [], ['dc-2']));
  assert.equal(watch.names(), ['dc-2']);
});

suite('every listing soon after a restore counts as one of the old copy', () => {
  const ERA = 2 ** 32;
  const watch = fixtures.aWatch();
  watch.answer(fixtures.aPage(['dc-2'], undefined, ERA + 50));
  watch.answer({ kind: 'revision-expired' });
  watch.answer(fixtures.aPage([], undefined, 2 * ERA + 20));
  watch.answer({ kind: 'revision-expired' }, 1_000);
  watch.answer(fixtures.aPage([], undefined, 2 * ERA + 30));
  assert.equal(
    watch.updates.map(({ isFromCopy }) => isFromCopy),
    [false, true, true],
  );
});

/** Guards against thousands of listings while the platform has no history. */
suite('a history that is gone again and again is not listed at the pace of the answers', () => {
  const watch = fixtures.aWatch();
  const expire = () => kindsOf(watch.answer({ kind: 'revision-expired' }));
  watch.answer(fixtures.aPage([]));
  assert.equal(expire(), ['record-history-lost', 'fetch-page']);
  watch.answer(fixtures.aPage([]));
  assert.equal(expire(), ['poll-later']);
  watch.fireTimer(100);
  watch.answer(fixtures.aPage([]));
  watch.answer(fixtures.anAnswer(11));
  assert.equal(expire(), ['record-history-lost', 'fetch-page']);
});

suite.run();
