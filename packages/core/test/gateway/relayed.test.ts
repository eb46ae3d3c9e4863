/**
 * Guards against refusals at an instance that reaches no upstream while others do, and against a request that
 * runs twice, or goes in circles, since two instances have it.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('gateway: requests at a cut-off instance');

const CUT_OFF: core.messages.RequestMessage = {
  type: 'fleet.not-placed',
  reason: 'cut-off',
  freeInMs: undefined,
};
const UNSENT: core.gateway.attemptResult.Result = {
  kind: 'unsent',
  reason: 'unreachable',
  detail: 'refused',
};
const HEAD: core.messages.RequestMessage = {
  type: 'relay.head',
  head: fixtures.aResponseHead(),
};

function ended(end: core.messages.RelayEnd): core.messages.RequestMessage {
  return { type: 'relay.ended', end };
}

function answered(status: number): core.messages.RequestMessage {
  const head = fixtures.aResponseHead(status);
  return ended({ kind: 'answered', head, body: Buffer.from('answer') });
}

function aRelayed(changed: Partial<core.gateway.routes.Route> = {}) {
  const given = fixtures.aLifecycle(changed);
  given.send(CUT_OFF);
  return given;
}

const kindsOf = (commands: readonly core.gateway.lifecycleState.Command[]) =>
  commands.map(({ kind }) => kind);
const statusOf = (given: fixtures.Lifecycle) => {
  const reply = fixtures.repliesOf(given).at(-1);
  return reply?.type === 'reply.refuse' ? reply.status : reply?.type;
};

suite('a request goes through another instance, whose answer is passed on', () => {
  const given = fixtures.aLifecycle();
  assert.equal(kindsOf(given.send(CUT_OFF)), ['relay']);
  const commands = given.send(answered(429));
  const [reply] = fixtures.repliesOf(given);
  assert.ok(reply?.type === 'reply.complete' && reply.head.status === 429);
  assert.ok(commands.some((e) => e.kind === 'record-request-end' && e.outcome.status === 429));
});

suite('one that no upstream received goes as well, one that may have run does not', () => {
  const unsent = fixtures.aLifecycle({ retryPolicy: 'retryable', maxRuns: 2 });
  fixtures.placeAttempt(unsent, 'u-1');
  fixtures.endAttempt(unsent, UNSENT);
  assert.equal(kindsOf(unsent.send(CUT_OFF)), ['relay']);
  const broken = fixtures.aLifecycle({ retryPolicy: 'retryable', maxRuns: 2 });
  fixtures.placeAttempt(broken, 'u-1');
  fixtures.endAttempt(broken, fixtures.BROKEN_ATTEMPT);
  broken.send({ type: 'retry-budget.decided', isGranted: true });
  assert.not.ok(kindsOf(broken.send(CUT_OFF)).includes('relay'));
});

suite('a request that came from another instance is refused as not run, with 421', () => {
  const given = fixtures.aLifecycle({}, { relayedBy: 'instance-2' });
  assert.not.ok(kindsOf(given.send(CUT_OFF)).includes('relay'));
  assert.is(statusOf(given), 421);
});

suite('events of a stream are passed on, and its end ends it', () => {
  const given = aRelayed({ responseMode: 'stream' });
  given.send(HEAD);
  given.send({ type: 'relay.events', bytes: Buffer.from('id: 1\n\n'), lastEventId: '1' });
  given.send(answered(200));
  assert.equal(
    fixtures.repliesOf(given).map(({ type }) => type),
    ['reply.head', 'reply.events', 'reply.end'],
  );
});

suite('what breaks off is never refused as not run', () => {
  const broken = ended({ kind: 'broken', detail: 'instance-2: reset' });
  const whole = aRelayed();
  whole.send(broken);
  assert.is(statusOf(whole), 502);
  const stream = aRelayed({ responseMode: 'stream' });
  stream.send(HEAD);
  stream.send(broken);
  assert.is(statusOf(stream), 'reply.abort');
});

suite('a request that no instance took is refused as not run, with a time of return', () => {
  const given = aRelayed();
  given.send(ended({ kind: 'not-run', detail: 'instance-2: cut-off' }));
  const [reply] = fixtures.repliesOf(given);
  assert.ok(reply?.type === 'reply.refuse' && reply.status === 503);
  assert.ok((reply.retryAfterMs ?? 0) > 0);
});

/** Guards against runs for callers that have gone. */
suite(
  'the relay is aborted at the deadline, at the end of the grace, and if the caller leaves',
  () => {
    const late = aRelayed();
    assert.ok(
      kindsOf(late.send({ type: 'request.timer-fired', timer: 'deadline' })).includes(
        'abort-relay',
      ),
    );
    assert.is(statusOf(late), 504);
    const left = aRelayed();
    assert.ok(kindsOf(left.send({ type: 'caller.disconnected' })).includes('abort-relay'));
    assert.equal(left.send(answered(200)), []);
    const drained = aRelayed({ timeoutMs: 60_000 });
    const [timer] = drained.send({ type: 'task.drain' });
    assert.ok(timer?.kind === 'schedule' && timer.delayMs <= fixtures.DRAIN_BOUNDS.graceMs);
  },
);

/** Guards against retries for requests that count at two instances. */
suite('a relayed request gives no right to retries', () => {
  const { retryBudget } = core.gateway;
  const limits = {
    windowMs: 10_000,
    retriesPerRequest: 2,
    extraRetries: 0,
    instances: 1,
    startedAtMs: 0,
  };
  const counted = retryBudget.recordRequest(retryBudget.unused, 1, limits);
  assert.ok(retryBudget.spendRetry(counted, 2, limits));
  const relayed = retryBudget.withdrawRequest(counted);
  assert.is(retryBudget.spendRetry(relayed, 2, limits), undefined);
  assert.equal(retryBudget.withdrawRequest(retryBudget.unused), retryBudget.unused);
});

suite.run();
