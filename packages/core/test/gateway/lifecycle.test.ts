/**
 * Guards against a request that runs more often than its route allows, and against a false "not run"
 * to a caller. Both come about when a retry follows an attempt that may have run.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('gateway: lifecycle of a request');

type Message = core.messages.RequestMessage;
type Command = core.gateway.lifecycleState.Command;

const REJECTED: core.gateway.attemptResult.Result = { kind: 'rejected', status: 503 };

suite('a complete response is delivered to the caller', () => {
  const lifecycle = fixtures.aLifecycle();
  fixtures.placeAttempt(lifecycle, 'u-1');
  fixtures.endAttempt(lifecycle, fixtures.anAnsweredAttempt(200));
  assert.equal(
    fixtures.repliesOf(lifecycle).map(({ type }) => type),
    ['reply.complete'],
  );
});

suite('an at-most-once request is sent again after a confirmed rejection', () => {
  const lifecycle = fixtures.aLifecycle();
  fixtures.placeAttempt(lifecycle, 'u-1');
  fixtures.endAttempt(lifecycle, REJECTED);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  fixtures.placeAttempt(lifecycle, 'u-2');
  assert.is(fixtures.countSends(lifecycle), 2);
});

suite('an at-most-once request is not sent again after its connection broke', () => {
  const lifecycle = fixtures.aLifecycle();
  fixtures.placeAttempt(lifecycle, 'u-1');
  fixtures.endAttempt(lifecycle, fixtures.BROKEN_ATTEMPT);
  assert.is(fixtures.countSends(lifecycle), 1);
  const [reply] = fixtures.repliesOf(lifecycle);
  assert.is(reply?.type === 'reply.refuse' && reply.status, 502);
});

suite('a retryable request is retried at another upstream when the response is late', () => {
  const lifecycle = fixtures.aLifecycle({
    retryPolicy: 'retryable',
    maxRuns: 2,
    latencyTargetMs: 100,
  });
  fixtures.placeAttempt(lifecycle, 'u-1');
  lifecycle.send({ type: 'request.timer-fired', timer: 'idle' }, 250);
  const commands = lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  assert.ok(commands.some(({ kind }) => kind === 'abort'));
  const placed = commands.find((each) => each.kind === 'place');
  assert.equal(placed?.kind === 'place' && placed.excluded, ['u-1']);
});

/** Guards against an upstream that goes dark unnoticed, as no request there may be retried. */
suite(
  'a stream that cannot be retried checks its upstream within 600 ms, and is not sent again',
  () => {
    const lifecycle = fixtures.aLifecycle({ responseMode: 'stream', latencyTargetMs: 1_200 });
    const scheduled = fixtures
      .placeAttempt(lifecycle, 'u-1')
      .find((each) => each.kind === 'schedule' && each.timer === 'idle');
    assert.is(scheduled?.kind === 'schedule' && scheduled.delayMs, 600);
    const checked = lifecycle.send({ type: 'request.timer-fired', timer: 'idle' }, 600);
    const check = checked.find((each) => each.kind === 'check-liveness');
    assert.ok(check?.kind === 'check-liveness');
    const attempt = check.attempt.id;
    const again = lifecycle.send({ type: 'fleet.liveness-checked', attempt, isSilent: false });
    assert.ok(again.some((each) => each.kind === 'schedule' && each.timer === 'idle'));
    assert.equal(
      lifecycle.send({ type: 'fleet.liveness-checked', attempt, isSilent: true }, 300),
      [],
    );
    assert.is(fixtures.countSends(lifecycle), 1);
  },
);

suite('a late attempt stays in flight when the retry budget refuses', () => {
  const lifecycle = fixtures.aLifecycle({
    retryPolicy: 'retryable',
    maxRuns: 2,
    latencyTargetMs: 100,
  });
  fixtures.placeAttempt(lifecycle, 'u-1');
  lifecycle.send({ type: 'request.timer-fired', timer: 'idle' }, 250);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: false });
  fixtures.endAttempt(lifecycle, fixtures.anAnsweredAttempt(200));
  assert.is(fixtures.repliesOf(lifecycle)[0]?.type, 'reply.complete');
});

suite('an upstream’s error response is delivered if no other upstream answers', () => {
  const lifecycle = fixtures.aLifecycle({ retryPolicy: 'retryable', maxRuns: 2 });
  fixtures.placeAttempt(lifecycle, 'u-1');
  fixtures.endAttempt(lifecycle, fixtures.anAnsweredAttempt(500));
  lifecycle.send({ type: 'retry-budget.decided', isGranted: false });
  const [reply] = fixtures.repliesOf(lifecycle);
  assert.is(reply?.type === 'reply.complete' && reply.head.status, 500);
});

suite('a resumable stream resumes after the last event that was forwarded', () => {
  const lifecycle = fixtures.aLifecycle({
    retryPolicy: 'resumable',
    responseMode: 'stream',
    maxRuns: 2,
  });
  fixtures.placeAttempt(lifecycle, 'u-1');
  const attempt = fixtures.attemptOf(lifecycle);
  lifecycle.send({ type: 'attempt.head-received', attempt, head: fixtures.aResponseHead() });
  lifecycle.send({
    type: 'attempt.events-received',
    attempt,
    bytes: Buffer.from('e'),
    lastEventId: '7',
  });
  fixtures.endAttempt(lifecycle, fixtures.BROKEN_ATTEMPT);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  fixtures.placeAttempt(lifecycle, 'u-2');
  const last = lifecycle.lifecycle.commands.filter((each) => each.kind === 'send').at(-1);
  assert.is(last?.kind === 'send' && last.lastEventId, '7');
  lifecycle.send({
    type: 'attempt.head-received',
    attempt: fixtures.attemptOf(lifecycle),
    head: fixtures.aResponseHead(),
  });
  assert.is(fixtures.repliesOf(lifecycle).filter(({ type }) => type === 'reply.head').length, 1);
});

suite('an at-most-once stream is aborted when its upstream breaks off', () => {
  const lifecycle = fixtures.aLifecycle({ responseMode: 'stream' });
  fixtures.placeAttempt(lifecycle, 'u-1');
  lifecycle.send({
    type: 'attempt.head-received',
    attempt: fixtures.attemptOf(lifecycle),
    head: fixtures.aResponseHead(),
  });
  fixtures.endAttempt(lifecycle, fixtures.BROKEN_ATTEMPT);
  assert.is(fixtures.repliesOf(lifecycle).at(-1)?.type, 'reply.abort');
});

suite('a stream that has begun is aborted after two seconds without a placement', () => {
  const lifecycle = fixtures.aLifecycle({
    retryPolicy: 'resumable',
    responseMode: 'stream',
    maxRuns: 2,
    timeoutMs: 15_000,
  });
  fixtures.placeAttempt(lifecycle, 'u-1');
  const attempt = fixtures.attemptOf(lifecycle);
  lifecycle.send({ type: 'attempt.head-received', attempt, head: fixtures.aResponseHead() });
  fixtures.endAttempt(lifecycle, fixtures.BROKEN_ATTEMPT);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  Array.from({ length: 80 }).forEach(() => {
    lifecycle.send({ type: 'fleet.not-placed', reason: 'none-usable', freeInMs: undefined });
    lifecycle.send({ type: 'request.timer-fired', timer: 'place' }, 25);
  });
  assert.is(fixtures.repliesOf(lifecycle).at(-1)?.type, 'reply.abort');
});

suite('at the deadline the status tells whether the request may have run', () => {
  const sent = fixtures.aLifecycle();
  fixtures.placeAttempt(sent, 'u-1');
  sent.send({ type: 'request.timer-fired', timer: 'deadline' }, 3_000);
  const unsent = fixtures.aLifecycle();
  unsent.send({ type: 'request.timer-fired', timer: 'deadline' }, 3_000);
  const statuses = [sent, unsent].map((lifecycle) => {
    const reply = fixtures.repliesOf(lifecycle).at(-1);
    return reply?.type === 'reply.refuse' && reply.status;
  });
  assert.equal(statuses, [504, 503]);
});

suite('a request that no upstream takes is refused early, with a retry delay', () => {
  const lifecycle = fixtures.aLifecycle();
  lifecycle.send({ type: 'fleet.not-placed', reason: 'none-usable', freeInMs: undefined });
  lifecycle.send({ type: 'request.timer-fired', timer: 'place' }, 25);
  lifecycle.send({ type: 'fleet.not-placed', reason: 'none-usable', freeInMs: undefined }, 100);
  const [reply] = fixtures.repliesOf(lifecycle);
  assert.ok(reply?.type === 'reply.refuse' && reply.status === 503 && reply.retryAfterMs);
});

suite('a caller that disconnects aborts the attempt', () => {
  const lifecycle = fixtures.aLifecycle();
  fixtures.placeAttempt(lifecycle, 'u-1');
  const commands = lifecycle.send({ type: 'caller.disconnected' });
  assert.ok(commands.some(({ kind }) => kind === 'abort'));
});

/** One random input to a request, as numbers that `play` turns into a message. */
type Move = { kind: number; value: number; afterMs: number };

const RESULTS: readonly core.gateway.attemptResult.Result[] = [
  REJECTED,
  fixtures.BROKEN_ATTEMPT,
  fixtures.anAnsweredAttempt(200),
  fixtures.anAnsweredAttempt(200, false),
  fixtures.anAnsweredAttempt(500),
  fixtures.anAnsweredAttempt(503),
  { kind: 'unsent', reason: 'unreachable', detail: '' },
];

function play(given: fixtures.Lifecycle, { kind, value, afterMs }: Move): void {
  const attempt = fixtures.attemptOf(given);
  const head = fixtures.aResponseHead();
  const messages: readonly Message[] = [
    { type: 'fleet.placed', destination: fixtures.aDestination(`u-${value}`) },
    { type: 'fleet.not-placed', reason: 'none-usable', freeInMs: undefined },
    { type: 'retry-budget.decided', isGranted: value % 2 === 0 },
    { type: 'attempt.ended', attempt, end: RESULTS[value % RESULTS.length] ?? REJECTED },
    { type: 'attempt.head-received', attempt, head },
    {
      type: 'attempt.events-received',
      attempt,
      bytes: Buffer.from('e'),
      lastEventId: String(value),
    },
    { type: 'request.timer-fired', timer: 'idle' },
    { type: 'fleet.liveness-checked', attempt, isSilent: value % 2 === 0 },
    { type: 'request.timer-fired', timer: value === 0 ? 'deadline' : 'place' },
    { type: 'fleet.attempt-withdrawn', upstream: `u-${value}`, reason: 'withdrawn' },
    fixtures.aPartRefusal(value % 2 === 0 ? 'quarantined' : 'suspected'),
  ];
  const message = messages[kind % messages.length];
  if (message) given.send(message, afterMs);
}

/** Attempts that may have run: sent, and reported neither as rejected nor as unreachable. */
function possibleRuns(commands: readonly Command[]): number {
  const sent = commands.filter(({ kind }) => kind === 'send').length;
  const notRun = commands.filter(
    (each) =>
      each.kind === 'report' && (each.outcome === 'rejected' || each.outcome === 'unreachable'),
  ).length;
  return sent - notRun;
}

suite('for any input, runs stay within the route’s bound and a 503 means "not run"', () => {
  const moves = fastCheck.array(
    fastCheck.record({
      kind: fastCheck.nat(10),
      value: fastCheck.nat(9),
      afterMs: fastCheck.nat(200),
    }),
    { maxLength: 40 },
  );
  const retryPolicy = fastCheck.constantFrom('at-most-once', 'retryable', 'resumable' as const);
  const responseMode = fastCheck.constantFrom('whole', 'stream' as const);
  fastCheck.assert(
    fastCheck.property(
      moves,
      retryPolicy,
      responseMode,
      fastCheck.integer({ min: 1, max: 3 }),
      (given, policy, mode, maxRuns) => {
        const lifecycle = fixtures.aLifecycle({ retryPolicy: policy, responseMode: mode, maxRuns });
        given.forEach((move) => play(lifecycle, move));
        const runs = possibleRuns(lifecycle.lifecycle.commands);
        assert.ok(runs <= (policy === 'at-most-once' ? 1 : maxRuns), `${runs} runs`);
        const refusal = fixtures.repliesOf(lifecycle).find((each) => each.type === 'reply.refuse');
        if (refusal?.type === 'reply.refuse' && refusal.status === 503) assert.is(runs, 0);
        const finals = ['reply.complete', 'reply.end', 'reply.abort', 'reply.refuse'];
        assert.ok(
          fixtures.repliesOf(lifecycle).filter(({ type }) => finals.includes(type)).length <= 1,
        );
      },
    ),
    { ...fixtures.seeded(), numRuns: 2_000 },
  );
});

suite.run();
