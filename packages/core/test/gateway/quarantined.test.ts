/** Guards against a caller who is told wrongly whether a request with a deadly part has run. */
import type * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('gateway: requests with quarantined parts');

suite('a request with a quarantined part is refused at once, as not run and for good', () => {
  const lifecycle = fixtures.aLifecycle();
  lifecycle.send(fixtures.aPartRefusal('quarantined'));
  const [reply] = fixtures.repliesOf(lifecycle);
  assert.ok(reply?.type === 'reply.refuse' && reply.status === 422);
  assert.ok(reply.retryAfterMs === undefined && /part p .*was not run/.test(reply.detail));
});

/** Guards against a false "not run": the attempt before the refusal reached its upstream. */
suite('a repeat with a quarantined part is not said to be not run', () => {
  const lifecycle = fixtures.aLifecycle({ retryPolicy: 'retryable', maxRuns: 2 });
  fixtures.placeAttempt(lifecycle, 'u-1');
  fixtures.endAttempt(lifecycle, fixtures.BROKEN_ATTEMPT);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  lifecycle.send(fixtures.aPartRefusal('quarantined'));
  const [reply] = fixtures.repliesOf(lifecycle);
  assert.ok(reply?.type === 'reply.refuse' && reply.status === 422);
  assert.ok(/may have run/.test(reply.detail) && !/not run/.test(reply.detail));
});

suite('a repeat with a suspected part ends as a lost answer', () => {
  const lifecycle = fixtures.aLifecycle({ retryPolicy: 'retryable', maxRuns: 2 });
  fixtures.placeAttempt(lifecycle, 'u-1');
  fixtures.endAttempt(lifecycle, fixtures.BROKEN_ATTEMPT);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  lifecycle.send(fixtures.aPartRefusal('suspected'));
  const ended = lifecycle.lifecycle.commands.at(-1);
  assert.is(ended?.kind === 'record-request-end' && ended.outcome.result, 'answerLost');
});

suite(
  'a request whose part is in flight already is refused at once and told when to return',
  () => {
    const lifecycle = fixtures.aLifecycle({ latencyTargetMs: 60_000 });
    lifecycle.send(fixtures.aPartRefusal('one-at-a-time', 1_000));
    const [reply] = fixtures.repliesOf(lifecycle);
    assert.ok(reply?.type === 'reply.refuse' && reply.status === 503);
    assert.ok((reply.retryAfterMs ?? 0) >= 1_000);
  },
);

suite('a repeat whose part is in flight already ends as a lost answer', () => {
  const lifecycle = fixtures.aLifecycle({ retryPolicy: 'retryable', maxRuns: 2 });
  fixtures.placeAttempt(lifecycle, 'u-1');
  fixtures.endAttempt(lifecycle, fixtures.BROKEN_ATTEMPT);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  lifecycle.send(fixtures.aPartRefusal('one-at-a-time', 1_000));
  const ended = lifecycle.lifecycle.commands.at(-1);
  assert.is(ended?.kind === 'record-request-end' && ended.outcome.result, 'answerLost');
});

suite('a withdrawn attempt is aborted and ends its request', () => {
  const lifecycle = fixtures.aLifecycle();
  fixtures.placeAttempt(lifecycle, 'u-1');
  const withdrawn = { type: 'fleet.attempt-withdrawn' as const, reason: 'part p' };
  assert.equal(lifecycle.send({ ...withdrawn, upstream: 'u-2' }), []);
  const commands = lifecycle.send({ ...withdrawn, upstream: 'u-1' });
  assert.ok(commands.some(({ kind }) => kind === 'abort'));
  const [reply] = fixtures.repliesOf(lifecycle);
  assert.ok(reply?.type === 'reply.refuse' && reply.status === 422);
  assert.ok(/may have run/.test(reply.detail));
});

suite('a stream with a quarantined part is aborted once its head was sent', () => {
  const lifecycle = fixtures.aLifecycle({
    retryPolicy: 'resumable',
    responseMode: 'stream',
    maxRuns: 2,
  });
  fixtures.placeAttempt(lifecycle, 'u-1');
  const attempt = fixtures.attemptOf(lifecycle);
  lifecycle.send({ type: 'attempt.head-received', attempt, head: fixtures.aResponseHead() });
  fixtures.endAttempt(lifecycle, fixtures.BROKEN_ATTEMPT);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  lifecycle.send(fixtures.aPartRefusal('quarantined'));
  assert.is(fixtures.repliesOf(lifecycle).at(-1)?.type, 'reply.abort');
});

/** Guards against an answer that its upstream broke off and that counts as a success for its parts. */
suite('a whole answer tells the fleet what got through only if its end is marked', () => {
  const survivedBy = (result: core.gateway.attemptResult.Result) => {
    const lifecycle = fixtures.aLifecycle();
    fixtures.placeAttempt(lifecycle, 'u-1');
    return fixtures
      .endAttempt(lifecycle, result)
      .flatMap((command) => (command.kind === 'report-begun' ? [command.survived] : []));
  };
  const unframed = { ...fixtures.aResponseHead(), isFramed: false };
  const body = Buffer.from('answer');
  assert.equal(survivedBy(fixtures.anAnsweredAttempt(200)), ['prompt-and-request']);
  assert.equal(survivedBy(fixtures.anAnsweredAttempt(200, false)), []);
  assert.equal(survivedBy(fixtures.anAnsweredAttempt(500)), ['request']);
  assert.equal(survivedBy({ kind: 'answered', head: unframed, body, isSealed: true }), []);
});

suite.run();
