import * as fixtures from '@medlarweir/core/fixtures';
import * as knowledge from '@medlarweir/core/knowledge';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('watches of the store');

suite('a watch lists the kind page by page, then watches from the revision of the list', () => {
  const watch = fixtures.aWatch();
  assert.is(watch.first[0]?.kind, 'fetch-page');
  const [more] = watch.answer(fixtures.aPage(['a'], 'a'));
  assert.ok(more?.kind === 'fetch-page' && more.after === 'a');
  const next = watch.answer(fixtures.aPage(['b']), 50).at(-1);
  assert.ok(next?.kind === 'fetch-updates' && next.revision === 10);
  const [update] = watch.updates;
  assert.ok(update?.isSnapshot);
  assert.equal(
    update?.objects.map(({ value }) => value),
    ['a', 'b'],
  );
  assert.is(update?.askedAt.monotonicMs, 0);
});

/** A state confirmed by a long poll is only known to be current at the time the poll was sent. */
suite('an update carries the time at which its call was sent, not that of its answer', () => {
  const watch = fixtures.aWatch();
  watch.answer(fixtures.aPage([]), 5);
  watch.answer({ kind: 'updates', objects: [], removed: [], revision: 11 }, 900);
  assert.is(watch.updates.at(-1)?.askedAt.monotonicMs, 5);
});

/** Whoever hears late of a change, after a lost call or a stall, must not take it for a new one. */
suite('an update tells since when its changes may have been made', () => {
  const watch = fixtures.aWatch();
  const unchangedAtMs = () => watch.updates.at(-1)?.unchangedAt.monotonicMs;
  const updates: knowledge.watches.Answer = {
    kind: 'updates',
    objects: [],
    removed: [],
    revision: 11,
  };
  const changed: knowledge.watches.Answer = {
    ...updates,
    objects: [fixtures.aStoredObject('a')],
    revision: 12,
  };
  watch.answer(fixtures.aPage([]), 5);
  watch.answer(updates, 1_500);
  watch.answer(changed, 100);
  assert.is(unchangedAtMs(), 1_505, 'held to the end of its wait');
  watch.answer(changed, 100);
  assert.is(unchangedAtMs(), 1_505, 'the changes before these came with an answer at once');
  watch.answer(fixtures.FAILED_CALL, 700);
  watch.fireTimer(1_000);
  watch.answer(changed, 10);
  assert.is(unchangedAtMs(), 1_605, 'a lost call confirms nothing');
});

/** Guards against upstreams that are all given up as soon as new weights are named after an outage. */
suite('after an outage, changes count from its last failed call', () => {
  const watch = fixtures.aWatch();
  const changed: knowledge.watches.Answer = {
    kind: 'updates',
    objects: [fixtures.aStoredObject('a')],
    removed: [],
    revision: 12,
  };
  watch.answer(fixtures.aPage([]), 5);
  watch.answer(fixtures.FAILED_CALL, 1_500);
  watch.fireTimer(100);
  watch.answer(fixtures.FAILED_CALL, 1_500);
  watch.fireTimer(200);
  watch.answer(changed, 10);
  assert.is(watch.updates.at(-1)?.unchangedAt.monotonicMs, 1_605);
});

suite('an expired revision restarts the watch with a listing', () => {
  const watch = fixtures.aWatch();
  watch.answer(fixtures.aPage(['a']));
  assert.is(watch.answer({ kind: 'revision-expired' }).at(-1)?.kind, 'fetch-page');
  watch.answer(fixtures.aPage(['b']));
  assert.equal(
    watch.updates.at(-1)?.objects.map(({ value }) => value),
    ['b'],
  );
});

suite('a lost history is told once, and once when the watch goes on', () => {
  const watch = fixtures.aWatch();
  watch.answer(fixtures.aPage(['a']));
  const kinds = (commands: readonly knowledge.watches.Command[]) =>
    commands.map(({ kind }) => kind);
  assert.ok(kinds(watch.answer({ kind: 'revision-expired' })).includes('record-history-lost'));
  watch.answer(fixtures.aPage(['a']), 20);
  const again = watch.answer({ kind: 'revision-expired' }, 20);
  assert.not(kinds(again).includes('record-history-lost'));
  watch.answer(fixtures.aPage([], undefined, 12), 20);
  const regained = watch
    .answer(fixtures.anAnswer(12), 40)
    .find(({ kind }) => kind === 'record-history-regained');
  assert.ok(regained?.kind === 'record-history-regained');
  assert.equal([regained.listings, regained.forMs, regained.behind], [2, 100, 0]);
});

suite('each failure is reported and retried after a backoff that grows up to a bound', () => {
  const watch = fixtures.aWatch();
  const delays = Array.from({ length: 8 }, () => {
    const later = watch.answer(fixtures.FAILED_CALL).find(({ kind }) => kind === 'poll-later');
    watch.fireTimer(1);
    return later?.kind === 'poll-later' ? later.delayMs : 0;
  });
  assert.is(watch.failures.length, 8);
  assert.ok((delays[0] ?? 0) < 130);
  assert.ok((delays[1] ?? 0) > (delays[0] ?? 0));
  assert.ok(Math.max(...delays) <= 1_050);
});

/** Guards against an instance that refuses all requests after one lost answer, as its knowledge grows too old. */
suite('after a failed call, what was missed is asked for without a wait', () => {
  const watch = fixtures.aWatch({ waitMs: 1_000, pauseMs: 0 });
  watch.answer(fixtures.aPage(['a']));
  watch.answer(fixtures.FAILED_CALL, 2_500);
  const [again] = watch.fireTimer(100);
  assert.is(again?.kind === 'fetch-updates' && again.waitMs, 1);
  const next = watch.answer(fixtures.anAnswer(11)).find(({ kind }) => kind === 'fetch-updates');
  assert.is(next?.kind === 'fetch-updates' && next.waitMs, 1_000);
});

/** Guards against removed upstreams that are kept as after an outage, since one watch was cut off. */
suite(
  'a single call that was cut off is no outage; one without an answer, or the next one, is',
  () => {
    const watch = fixtures.aWatch({ waitMs: 1_000, pauseMs: 0 });
    const outages = () => watch.failures.map(({ isOutage }) => isOutage);
    watch.answer(fixtures.aPage(['a']));
    watch.answer(fixtures.FAILED_CALL, 300);
    assert.equal(outages(), [false]);
    watch.fireTimer(100);
    watch.answer(fixtures.FAILED_CALL, 10);
    assert.equal(outages(), [false, true]);
    watch.fireTimer(100);
    watch.answer(fixtures.anAnswer(11));
    watch.answer(fixtures.FAILED_CALL, 2_500);
    assert.equal(outages(), [false, true, true]);
  },
);

/** A late answer to the replaced chain must not start a second chain of calls. */
suite('an answer to a replaced chain of calls changes nothing', () => {
  const watch = fixtures.aWatch();
  watch.answer(fixtures.aPage(['a']));
  const old = watch.run();
  watch.add();
  assert.equal(
    watch.answer({ kind: 'updates', objects: [], removed: [], revision: 12 }, 0, old),
    [],
  );
});

suite.run();
