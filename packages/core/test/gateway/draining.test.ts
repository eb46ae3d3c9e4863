import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('requests at a draining gateway');

const { graceMs, balancerLagMs } = fixtures.DRAIN_BOUNDS;
const { answerMs, closeMs } = core.drain.delays(fixtures.DRAIN_BOUNDS);
const BOUNDS: core.gateway.decide.Bounds = {
  ...fixtures.DRAIN_BOUNDS,
  revocationMs: 60_000,
  adoptionMs: 60_000,
  evacuationMs: 60_000,
  retryWindowMs: 1_000,
  retryRatio: 0.1,
  retryExtra: 1,
};

/** What a gateway that drains since 0 does with a request that comes after some time. */
function commandsAt(
  afterMs: number,
  changed: Partial<core.gateway.routes.Route> = {},
  callerTimeoutMs = 60_000,
): readonly core.gateway.decide.Command[] {
  const start = fixtures.anInstant();
  const now = fixtures.anInstant(afterMs);
  const table = fixtures.aRoutingTable({ routes: [fixtures.aRoute(changed)] });
  const draining = [
    { type: 'gateway.table-read' as const, table, askedAt: start },
    { type: 'gateway.evacuations-confirmed' as const, askedAt: start },
    { type: 'task.drain' as const },
  ].reduce(
    (state, message) => core.gateway.decide.decide(state, message, start).state,
    core.gateway.decide.initial(BOUNDS, start),
  );
  const message = {
    type: 'gateway.begin-request' as const,
    request: fixtures.aGatewayRequest({ receivedAt: now, callerTimeoutMs }),
    caller: { send: () => undefined },
    onBegun: () => undefined,
  };
  return core.gateway.decide.decide(draining, message, now).commands;
}

function isTaken(...args: Parameters<typeof commandsAt>): boolean {
  return commandsAt(...args).some(({ kind }) => kind === 'spawn');
}

suite('while the balancer may still choose the instance, all requests are taken', () => {
  assert.ok(isTaken(balancerLagMs - 1, { timeoutMs: 60_000 }));
});

/** Guards against requests that may run once and are passed on too late to end in the grace. */
suite('afterwards a request that may run once is taken if its whole time-out is left', () => {
  const route = { timeoutMs: 2_000 };
  assert.ok(isTaken(answerMs - 2_000, route));
  assert.not(isTaken(answerMs - 1_999, route));
  assert.ok(isTaken(answerMs - 1_000, route, 1_000), 'the caller waits less');
});

suite('a stream is taken if its whole time-out is left, also if it could be resumed', () => {
  (['resumable', 'at-most-once'] as const).forEach((retryPolicy) => {
    const route = { retryPolicy, responseMode: 'stream' as const, timeoutMs: 2_000 };
    assert.ok(isTaken(answerMs - 2_000, route));
    assert.not(isTaken(answerMs - 1_999, route));
  });
});

suite('a request that may be repeated is taken while its usual time is left', () => {
  const route = { retryPolicy: 'retryable' as const, latencyTargetMs: 100, timeoutMs: 60_000 };
  assert.ok(isTaken(answerMs - 500, route));
  assert.not(isTaken(answerMs - 499, route));
});

suite('a refused request is not run, and its caller comes back soon', () => {
  const [refusal, denied] = commandsAt(answerMs, { timeoutMs: 10 });
  assert.is(denied?.kind === 'record-refused' && denied.code, 'leaving');
  const reply = refusal?.kind === 'refuse' ? refusal.reply : undefined;
  assert.is(reply?.type === 'reply.refuse' && reply.status, 503);
  assert.ok(reply?.type === 'reply.refuse' && Number(reply.retryAfterMs) > 0);
});

suite('a repeated signal does not prolong the grace', () => {
  const first = core.drain.begin(core.drain.serving(BOUNDS), fixtures.anInstant(100));
  assert.equal(core.drain.begin(first, fixtures.anInstant(5_000)), first);
});

suite('answers are due before connections close, in the last sixth of any grace', () => {
  [1_000, 4_000, 8_000, 60_000].forEach((each) => {
    const delays = core.drain.delays({ graceMs: each, balancerLagMs });
    assert.ok(delays.closeIdleMs <= delays.answerMs);
    assert.ok(delays.answerMs >= (each * 5) / 6);
    assert.ok(delays.answerMs < delays.closeMs && delays.closeMs < each);
  });
  assert.ok(closeMs < graceMs);
});

/** The request is in flight when the drain begins; returns the replies until the end of the grace. */
async function repliesInGrace(
  changed: Partial<core.gateway.routes.Route>,
  act: (given: fixtures.Lifecycle) => void,
): Promise<readonly core.gateway.request.Reply[]> {
  const given = fixtures.aLifecycle({ timeoutMs: 60_000, ...changed });
  act(given);
  const [deadline] = given.send({ type: 'task.drain' });
  if (deadline?.kind !== 'schedule') throw new Error('no deadline was set');
  const clock = fixtures.aFakeClock();
  try {
    setTimeout(
      () => given.send({ type: 'request.timer-fired', timer: deadline.timer }, clock.nowMs()),
      deadline.delayMs,
    );
    await clock.advance(closeMs);
  } finally {
    clock.resume();
  }
  return fixtures.repliesOf(given);
}

/** Guards against connections that close at the end of the grace without an answer. */
suite('at the end of the grace a request that was sent is answered as perhaps run', async () => {
  const replies = await repliesInGrace({}, (given) => fixtures.placeAttempt(given, 'e-1'));
  assert.equal(
    replies.map((reply) => reply.type === 'reply.refuse' && reply.status),
    [504],
  );
});

suite('one that was not sent is answered as not run', async () => {
  const replies = await repliesInGrace({}, () => undefined);
  assert.equal(
    replies.map((reply) => reply.type === 'reply.refuse' && reply.status),
    [503],
  );
});

/** Guards against a cut stream that looks complete. */
suite('a stream that has begun is aborted', async () => {
  const replies = await repliesInGrace({ responseMode: 'stream' }, (given) => {
    fixtures.placeAttempt(given, 'e-1');
    const attempt = fixtures.attemptOf(given);
    given.send({ type: 'attempt.head-received', attempt, head: fixtures.aResponseHead() });
  });
  assert.equal(
    replies.map(({ type }) => type),
    ['reply.head', 'reply.abort'],
  );
});

/** Guards against upstreams that are given more time than the instance has. */
suite('an attempt in the grace ends with it, and the caller’s time stays the bound', () => {
  const deadlineOf = (timeoutMs: number) => {
    const given = fixtures.aLifecycle({ timeoutMs });
    given.send({ type: 'task.drain' });
    const [send] = fixtures.placeAttempt(given, 'e-1');
    return send?.kind === 'send' ? send.deadlineAtMs : undefined;
  };
  assert.is(deadlineOf(60_000), answerMs);
  assert.is(deadlineOf(1_000), 1_000);
});

suite.run();
