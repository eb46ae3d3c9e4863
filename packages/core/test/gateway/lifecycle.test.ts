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
type Route = core.gateway.routes.Route;

/** The lifecycle of one request; the test sends what the fleet and the upstreams would. */
function aLifecycle(changed: Partial<Route> = {}) {
  const routed: core.gateway.lifecycleState.RoutedRequest = {
    request: fixtures.aGatewayRequest({ callerTimeoutMs: undefined }),
    route: fixtures.aRoute(changed),
    service: 'models',
    clientAccount: undefined,
    tableVersion: 1,
    tableAgeMs: 0,
  };
  const lifecycle = {
    state: core.gateway.lifecycleState.initial(routed),
    commands: [] as Command[],
    nowMs: 0,
  };
  const send = (message: Message, afterMs = 0) => {
    lifecycle.nowMs += afterMs;
    const now = fixtures.anInstant(lifecycle.nowMs);
    const step = core.gateway.lifecycle.decide(lifecycle.state, message, now);
    lifecycle.state = step.state;
    lifecycle.commands.push(...step.commands);
    return step.commands;
  };
  send({ type: 'task.start' });
  return { lifecycle, send };
}

type Lifecycle = ReturnType<typeof aLifecycle>;

function attemptOf({ lifecycle }: Lifecycle): string {
  const { phase } = lifecycle.state;
  return phase.kind === 'attempting' || phase.kind === 'asking' ? (phase.attempt?.id ?? '') : '';
}

function place(given: Lifecycle, upstream: string): void {
  given.send({ type: 'fleet.placed', destination: fixtures.aDestination(upstream) });
}

function end(given: Lifecycle, result: core.gateway.attemptResult.Result, afterMs = 0) {
  return given.send({ type: 'attempt.ended', attempt: attemptOf(given), end: result }, afterMs);
}

function replies({ lifecycle }: Lifecycle): readonly core.gateway.request.Reply[] {
  return lifecycle.commands.flatMap((each) => (each.kind === 'reply' ? [each.reply] : []));
}

function sends({ lifecycle }: Lifecycle): number {
  return lifecycle.commands.filter(({ kind }) => kind === 'send').length;
}

const REJECTED: core.gateway.attemptResult.Result = { kind: 'rejected', status: 503 };
const BROKEN: core.gateway.attemptResult.Result = {
  kind: 'broken',
  reason: 'connection-lost',
  detail: 'reset',
};

suite('a complete response is delivered to the caller', () => {
  const lifecycle = aLifecycle();
  place(lifecycle, 'u-1');
  end(lifecycle, fixtures.anAnsweredAttempt(200));
  assert.equal(
    replies(lifecycle).map(({ type }) => type),
    ['reply.complete'],
  );
});

suite('an at-most-once request is sent again after a confirmed rejection', () => {
  const lifecycle = aLifecycle();
  place(lifecycle, 'u-1');
  end(lifecycle, REJECTED);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  place(lifecycle, 'u-2');
  assert.is(sends(lifecycle), 2);
});

suite('an at-most-once request is not sent again after its connection broke', () => {
  const lifecycle = aLifecycle();
  place(lifecycle, 'u-1');
  end(lifecycle, BROKEN);
  assert.is(sends(lifecycle), 1);
  const [reply] = replies(lifecycle);
  assert.is(reply?.type === 'reply.refuse' && reply.status, 502);
});

suite('a retryable request is retried at another upstream when the response is late', () => {
  const lifecycle = aLifecycle({ retryPolicy: 'retryable', maxRuns: 2, latencyTargetMs: 100 });
  place(lifecycle, 'u-1');
  lifecycle.send({ type: 'request.timer-fired', timer: 'idle' }, 250);
  const commands = lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  assert.ok(commands.some(({ kind }) => kind === 'abort'));
  const placed = commands.find((each) => each.kind === 'place');
  assert.equal(placed?.kind === 'place' && placed.excluded, ['u-1']);
});

suite('a late attempt stays in flight when the retry budget refuses', () => {
  const lifecycle = aLifecycle({ retryPolicy: 'retryable', maxRuns: 2, latencyTargetMs: 100 });
  place(lifecycle, 'u-1');
  lifecycle.send({ type: 'request.timer-fired', timer: 'idle' }, 250);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: false });
  end(lifecycle, fixtures.anAnsweredAttempt(200));
  assert.is(replies(lifecycle)[0]?.type, 'reply.complete');
});

suite('an upstream’s error response is delivered if no other upstream answers', () => {
  const lifecycle = aLifecycle({ retryPolicy: 'retryable', maxRuns: 2 });
  place(lifecycle, 'u-1');
  end(lifecycle, fixtures.anAnsweredAttempt(500));
  lifecycle.send({ type: 'retry-budget.decided', isGranted: false });
  const [reply] = replies(lifecycle);
  assert.is(reply?.type === 'reply.complete' && reply.head.status, 500);
});

suite('a resumable stream resumes after the last event that was forwarded', () => {
  const lifecycle = aLifecycle({ retryPolicy: 'resumable', responseMode: 'stream', maxRuns: 2 });
  place(lifecycle, 'u-1');
  const attempt = attemptOf(lifecycle);
  lifecycle.send({ type: 'attempt.head-received', attempt, head: fixtures.aResponseHead() });
  lifecycle.send({
    type: 'attempt.events-received',
    attempt,
    bytes: Buffer.from('e'),
    lastEventId: '7',
  });
  end(lifecycle, BROKEN);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  place(lifecycle, 'u-2');
  const last = lifecycle.lifecycle.commands.filter((each) => each.kind === 'send').at(-1);
  assert.is(last?.kind === 'send' && last.lastEventId, '7');
  lifecycle.send({
    type: 'attempt.head-received',
    attempt: attemptOf(lifecycle),
    head: fixtures.aResponseHead(),
  });
  assert.is(replies(lifecycle).filter(({ type }) => type === 'reply.head').length, 1);
});

suite('an at-most-once stream is aborted when its upstream breaks off', () => {
  const lifecycle = aLifecycle({ responseMode: 'stream' });
  place(lifecycle, 'u-1');
  lifecycle.send({
    type: 'attempt.head-received',
    attempt: attemptOf(lifecycle),
    head: fixtures.aResponseHead(),
  });
  end(lifecycle, BROKEN);
  assert.is(replies(lifecycle).at(-1)?.type, 'reply.abort');
});

suite('a stream that has begun is aborted after two seconds without a placement', () => {
  const lifecycle = aLifecycle({
    retryPolicy: 'resumable',
    responseMode: 'stream',
    maxRuns: 2,
    timeoutMs: 15_000,
  });
  place(lifecycle, 'u-1');
  const attempt = attemptOf(lifecycle);
  lifecycle.send({ type: 'attempt.head-received', attempt, head: fixtures.aResponseHead() });
  end(lifecycle, BROKEN);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  Array.from({ length: 80 }).forEach(() => {
    lifecycle.send({ type: 'fleet.not-placed', reason: 'none-usable', freeInMs: undefined });
    lifecycle.send({ type: 'request.timer-fired', timer: 'place' }, 25);
  });
  assert.is(replies(lifecycle).at(-1)?.type, 'reply.abort');
});

suite('at the deadline the status tells whether the request may have run', () => {
  const sent = aLifecycle();
  place(sent, 'u-1');
  sent.send({ type: 'request.timer-fired', timer: 'deadline' }, 3_000);
  const unsent = aLifecycle();
  unsent.send({ type: 'request.timer-fired', timer: 'deadline' }, 3_000);
  const statuses = [sent, unsent].map((lifecycle) => {
    const reply = replies(lifecycle).at(-1);
    return reply?.type === 'reply.refuse' && reply.status;
  });
  assert.equal(statuses, [504, 503]);
});

suite('a request that no upstream takes is refused early, with a retry delay', () => {
  const lifecycle = aLifecycle();
  lifecycle.send({ type: 'fleet.not-placed', reason: 'none-usable', freeInMs: undefined });
  lifecycle.send({ type: 'request.timer-fired', timer: 'place' }, 25);
  lifecycle.send({ type: 'fleet.not-placed', reason: 'none-usable', freeInMs: undefined }, 100);
  const [reply] = replies(lifecycle);
  assert.ok(reply?.type === 'reply.refuse' && reply.status === 503 && reply.retryAfterMs);
});

suite('a caller that disconnects aborts the attempt', () => {
  const lifecycle = aLifecycle();
  place(lifecycle, 'u-1');
  const commands = lifecycle.send({ type: 'caller.disconnected' });
  assert.ok(commands.some(({ kind }) => kind === 'abort'));
});

function notPlaced(reason: 'quarantined' | 'suspected'): Message {
  return { type: 'fleet.not-placed', reason, freeInMs: undefined, detail: 'part p of model-1' };
}

suite('a request with a quarantined part is refused at once, as not run and for good', () => {
  const lifecycle = aLifecycle();
  lifecycle.send(notPlaced('quarantined'));
  const [reply] = replies(lifecycle);
  assert.ok(reply?.type === 'reply.refuse' && reply.status === 422);
  assert.ok(reply.retryAfterMs === undefined && /part p .*was not run/.test(reply.detail));
});

/** Guards against a false "not run": the attempt before the refusal reached its upstream. */
suite('a repeat with a quarantined part is not said to be not run', () => {
  const lifecycle = aLifecycle({ retryPolicy: 'retryable', maxRuns: 2 });
  place(lifecycle, 'u-1');
  end(lifecycle, BROKEN);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  lifecycle.send(notPlaced('quarantined'));
  const [reply] = replies(lifecycle);
  assert.ok(reply?.type === 'reply.refuse' && reply.status === 422);
  assert.ok(/may have run/.test(reply.detail) && !/not run/.test(reply.detail));
});

suite('a repeat with a suspected part ends as a lost answer', () => {
  const lifecycle = aLifecycle({ retryPolicy: 'retryable', maxRuns: 2 });
  place(lifecycle, 'u-1');
  end(lifecycle, BROKEN);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  lifecycle.send(notPlaced('suspected'));
  const ended = lifecycle.lifecycle.commands.at(-1);
  assert.is(ended?.kind === 'record-request-end' && ended.outcome.result, 'answerLost');
});

suite('a withdrawn attempt is aborted and ends its request', () => {
  const lifecycle = aLifecycle();
  place(lifecycle, 'u-1');
  const withdrawn = { type: 'fleet.attempt-withdrawn' as const, reason: 'part p' };
  assert.equal(lifecycle.send({ ...withdrawn, upstream: 'u-2' }), []);
  const commands = lifecycle.send({ ...withdrawn, upstream: 'u-1' });
  assert.ok(commands.some(({ kind }) => kind === 'abort'));
  const [reply] = replies(lifecycle);
  assert.ok(reply?.type === 'reply.refuse' && reply.status === 422);
  assert.ok(/may have run/.test(reply.detail));
});

suite('a stream with a quarantined part is aborted once its head was sent', () => {
  const lifecycle = aLifecycle({ retryPolicy: 'resumable', responseMode: 'stream', maxRuns: 2 });
  place(lifecycle, 'u-1');
  const attempt = attemptOf(lifecycle);
  lifecycle.send({ type: 'attempt.head-received', attempt, head: fixtures.aResponseHead() });
  end(lifecycle, BROKEN);
  lifecycle.send({ type: 'retry-budget.decided', isGranted: true });
  lifecycle.send(notPlaced('quarantined'));
  assert.is(replies(lifecycle).at(-1)?.type, 'reply.abort');
});

/** Guards against an answer that its upstream broke off and that counts as a success for its parts. */
suite('a whole answer tells the fleet that its parts got through only if its end is marked', () => {
  const hasBegun = (result: core.gateway.attemptResult.Result) => {
    const lifecycle = aLifecycle();
    place(lifecycle, 'u-1');
    return end(lifecycle, result).some(({ kind }) => kind === 'report-begun');
  };
  const unframed = { ...fixtures.aResponseHead(), isFramed: false };
  const body = Buffer.from('answer');
  assert.ok(hasBegun(fixtures.anAnsweredAttempt(200)));
  assert.not.ok(hasBegun(fixtures.anAnsweredAttempt(200, false)));
  assert.not.ok(hasBegun(fixtures.anAnsweredAttempt(500)));
  assert.not.ok(hasBegun({ kind: 'answered', head: unframed, body, isSealed: true }));
});

/** One random input to a request, as numbers that `play` turns into a message. */
type Move = { kind: number; value: number; afterMs: number };

const RESULTS: readonly core.gateway.attemptResult.Result[] = [
  REJECTED,
  BROKEN,
  fixtures.anAnsweredAttempt(200),
  fixtures.anAnsweredAttempt(200, false),
  fixtures.anAnsweredAttempt(500),
  fixtures.anAnsweredAttempt(503),
  { kind: 'unsent', reason: 'unreachable', detail: '' },
];

function play(given: Lifecycle, { kind, value, afterMs }: Move): void {
  const attempt = attemptOf(given);
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
    notPlaced(value % 2 === 0 ? 'quarantined' : 'suspected'),
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
        const lifecycle = aLifecycle({ retryPolicy: policy, responseMode: mode, maxRuns });
        given.forEach((move) => play(lifecycle, move));
        const runs = possibleRuns(lifecycle.lifecycle.commands);
        assert.ok(runs <= (policy === 'at-most-once' ? 1 : maxRuns), `${runs} runs`);
        const refusal = replies(lifecycle).find((each) => each.type === 'reply.refuse');
        if (refusal?.type === 'reply.refuse' && refusal.status === 503) assert.is(runs, 0);
        const finals = ['reply.complete', 'reply.end', 'reply.abort', 'reply.refuse'];
        assert.ok(replies(lifecycle).filter(({ type }) => finals.includes(type)).length <= 1);
      },
    ),
    { ...fixtures.seeded(), numRuns: 2_000 },
  );
});

suite.run();
