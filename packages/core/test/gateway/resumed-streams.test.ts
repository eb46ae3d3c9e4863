/** The lifecycle of streams that are resumed, and of those that go on within one answer. */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('gateway: streams and software versions');

const ROUTE: Partial<core.gateway.routes.Route> = {
  responseMode: 'stream',
  retryPolicy: 'resumable',
  maxRuns: 2,
};
const BROKEN: core.gateway.attemptResult.Result = {
  kind: 'broken',
  reason: 'connection-lost',
  detail: 'reset',
};

function placesOf({ lifecycle }: fixtures.Lifecycle): readonly (string | undefined)[] {
  return lifecycle.commands.flatMap((each) =>
    each.kind === 'place' ? [each.softwareVersion] : [],
  );
}

function refusalOf(given: fixtures.Lifecycle) {
  const [reply] = fixtures.repliesOf(given);
  return reply?.type === 'reply.refuse' ? reply : undefined;
}

function aResumedStream(): fixtures.Lifecycle {
  return fixtures.aLifecycle(ROUTE, { lastEventId: '3', streamBegunBy: 'first' });
}

suite('a stream that broke off is placed again at its version alone', () => {
  const stream = fixtures.aLifecycle(ROUTE);
  fixtures.placeAttempt(stream, 'u-1', { softwareVersion: 'v1' });
  fixtures.endAttempt(stream, BROKEN);
  stream.send({ type: 'retry-budget.decided', isGranted: true });
  assert.equal(placesOf(stream), [undefined, 'v1']);
});

/** Guards against a record of the version that is wrong by the time the first event is passed on. */
suite('the version is told once, before the request is sent, and stays', () => {
  const stream = fixtures.aLifecycle(ROUTE);
  fixtures.placeAttempt(stream, 'u-1', { softwareVersion: 'v1' });
  fixtures.endAttempt(stream, { kind: 'rejected', status: 503 });
  stream.send({ type: 'retry-budget.decided', isGranted: true });
  fixtures.placeAttempt(stream, 'u-2', { softwareVersion: 'v1' });
  const kinds = stream.lifecycle.commands.map(({ kind }) => kind);
  assert.is(kinds.filter((kind) => kind === 'report-stream').length, 1);
  assert.ok(kinds.indexOf('report-stream') < kinds.indexOf('send'));
  assert.equal(placesOf(stream), [undefined, 'v1']);
});

suite('a resumed stream is placed once its origin is known', () => {
  const stream = aResumedStream();
  assert.equal(placesOf(stream), []);
  const origin = { kind: 'known', version: 'v2', evidence: 'recorded' } as const;
  stream.send({ type: 'stream-origins.found', origin });
  assert.equal(placesOf(stream), ['v2']);
});

suite('a resumed stream of unknown origin is refused at once, and not told to come back', () => {
  const stream = aResumedStream();
  const origin = { kind: 'unknown', gap: 'not-recorded' } as const;
  stream.send({ type: 'stream-origins.found', origin });
  assert.is(refusalOf(stream)?.status, 503);
  assert.is(refusalOf(stream)?.retryAfterMs, undefined);
});

suite('one whose origin cannot be told at present may come back', () => {
  const stream = aResumedStream();
  const origin = { kind: 'unknown', gap: 'store-unavailable' } as const;
  stream.send({ type: 'stream-origins.found', origin });
  assert.is(refusalOf(stream)?.status, 503);
  assert.ok((refusalOf(stream)?.retryAfterMs ?? 0) > 0);
});

suite('without an upstream of its version, only a stream without an event may come back', () => {
  const gone = {
    type: 'fleet.not-placed',
    reason: 'software-version-gone',
    freeInMs: undefined,
  } as const;
  const resumed = aResumedStream();
  const origin = { kind: 'known', version: 'v1', evidence: 'own' } as const;
  resumed.send({ type: 'stream-origins.found', origin });
  resumed.send(gone);
  assert.is(refusalOf(resumed)?.retryAfterMs, undefined);
  const begun = fixtures.aLifecycle(ROUTE);
  begun.send(gone);
  assert.ok((refusalOf(begun)?.retryAfterMs ?? 0) > 0);
});

suite.run();
