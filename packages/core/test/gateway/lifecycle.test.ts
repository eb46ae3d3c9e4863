import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('gateway: life of a request');

type Message = core.messages.RequestMessage;
type Command = core.gateway.lifecycleState.Command;
type Route = core.gateway.routes.Route;

/** One request whose surroundings the test plays. */
function aLife(changed: Partial<Route> = {}) {
  const given: core.gateway.lifecycleState.RoutedRequest = {
    request: fixtures.aGatewayRequest({ callerTimeoutMs: undefined }),
    route: fixtures.aRoute(changed),
    service: 'models',
    clientAccount: undefined,
    tableVersion: 1,
    tableAgeMs: 0,
  };
  const life = {
    state: core.gateway.lifecycleState.initial(given),
    commands: [] as Command[],
    nowMs: 0,
  };
  const send = (message: Message, afterMs = 0) => {
    life.nowMs += afterMs;
    const now = fixtures.anInstant(life.nowMs);
    const step = core.gateway.lifecycle.decide(life.state, message, now);
    life.state = step.state;
    life.commands.push(...step.commands);
    return step.commands;
  };
  send({ type: 'task.start' });
  return { life, send };
}

type Life = ReturnType<typeof aLife>;

function attemptOf({ life }: Life): string {
  const { phase } = life.state;
  return phase.kind === 'attempting' || phase.kind === 'asking' ? (phase.attempt?.id ?? '') : '';
}

function place(given: Life, upstream: string): void {
  given.send({ type: 'fleet.placed', destination: fixtures.aDestination(upstream) });
}

function end(given: Life, ended: core.gateway.attemptResult.Result, afterMs = 0) {
  return given.send({ type: 'attempt.ended', attempt: attemptOf(given), end: ended }, afterMs);
}

function replies({ life }: Life): readonly core.gateway.request.Reply[] {
  return life.commands.flatMap((each) => (each.kind === 'reply' ? [each.reply] : []));
}

function sends({ life }: Life): number {
  return life.commands.filter(({ kind }) => kind === 'send').length;
}

const REJECTED: core.gateway.attemptResult.Result = { kind: 'rejected', status: 503 };
const BROKEN: core.gateway.attemptResult.Result = {
  kind: 'broken',
  reason: 'connection-lost',
  detail: 'reset',
};

suite('an answer is handed on as it came', () => {
  const life = aLife();
  place(life, 'u-1');
  end(life, fixtures.anAnsweredAttempt(200));
  assert.equal(
    replies(life).map(({ type }) => type),
    ['reply.complete'],
  );
});

suite('a request that may run once is sent again after a truthful rejection', () => {
  const life = aLife();
  place(life, 'u-1');
  end(life, REJECTED);
  life.send({ type: 'retry-budget.decided', isGranted: true });
  place(life, 'u-2');
  assert.is(sends(life), 2);
});

suite('a request that may run once is not sent again after its connection broke', () => {
  const life = aLife();
  place(life, 'u-1');
  end(life, BROKEN);
  assert.is(sends(life), 1);
  const [reply] = replies(life);
  assert.is(reply?.type === 'reply.refuse' && reply.status, 502);
});

suite('a repeatable request goes elsewhere when the answer is late', () => {
  const life = aLife({ retryPolicy: 'retryable', maxRuns: 2, latencyTargetMs: 100 });
  place(life, 'u-1');
  life.send({ type: 'request.timer-fired', timer: 'idle' }, 250);
  const commands = life.send({ type: 'retry-budget.decided', isGranted: true });
  assert.ok(commands.some(({ kind }) => kind === 'abort'));
  const placed = commands.find((each) => each.kind === 'place');
  assert.equal(placed?.kind === 'place' && placed.excluded, ['u-1']);
});

suite('without budget for it the first attempt goes on', () => {
  const life = aLife({ retryPolicy: 'retryable', maxRuns: 2, latencyTargetMs: 100 });
  place(life, 'u-1');
  life.send({ type: 'request.timer-fired', timer: 'idle' }, 250);
  life.send({ type: 'retry-budget.decided', isGranted: false });
  end(life, fixtures.anAnsweredAttempt(200));
  assert.is(replies(life)[0]?.type, 'reply.complete');
});

suite('an upstream’s own failure is handed on if nobody else answers', () => {
  const life = aLife({ retryPolicy: 'retryable', maxRuns: 2 });
  place(life, 'u-1');
  end(life, fixtures.anAnsweredAttempt(500));
  life.send({ type: 'retry-budget.decided', isGranted: false });
  const [reply] = replies(life);
  assert.is(reply?.type === 'reply.complete' && reply.head.status, 500);
});

suite('a resumable stream goes on behind the last event that was passed on', () => {
  const life = aLife({ retryPolicy: 'resumable', responseMode: 'stream', maxRuns: 2 });
  place(life, 'u-1');
  const attempt = attemptOf(life);
  life.send({ type: 'attempt.head-received', attempt, head: fixtures.aResponseHead() });
  life.send({
    type: 'attempt.events-received',
    attempt,
    bytes: Buffer.from('e'),
    lastEventId: '7',
  });
  end(life, BROKEN);
  life.send({ type: 'retry-budget.decided', isGranted: true });
  place(life, 'u-2');
  const last = life.life.commands.filter((each) => each.kind === 'send').at(-1);
  assert.is(last?.kind === 'send' && last.lastEventId, '7');
  life.send({
    type: 'attempt.head-received',
    attempt: attemptOf(life),
    head: fixtures.aResponseHead(),
  });
  assert.is(replies(life).filter(({ type }) => type === 'reply.head').length, 1);
});

suite('a stream that may run once is cut when its upstream breaks off', () => {
  const life = aLife({ responseMode: 'stream' });
  place(life, 'u-1');
  life.send({
    type: 'attempt.head-received',
    attempt: attemptOf(life),
    head: fixtures.aResponseHead(),
  });
  end(life, BROKEN);
  assert.is(replies(life).at(-1)?.type, 'reply.abort');
});

suite('a stream that has begun and finds no upstream for two seconds is cut, not held', () => {
  const life = aLife({
    retryPolicy: 'resumable',
    responseMode: 'stream',
    maxRuns: 2,
    timeoutMs: 15_000,
  });
  place(life, 'u-1');
  const attempt = attemptOf(life);
  life.send({ type: 'attempt.head-received', attempt, head: fixtures.aResponseHead() });
  end(life, BROKEN);
  life.send({ type: 'retry-budget.decided', isGranted: true });
  Array.from({ length: 80 }).forEach(() => {
    life.send({ type: 'fleet.not-placed', reason: 'none-usable' });
    life.send({ type: 'request.timer-fired', timer: 'place' }, 25);
  });
  assert.is(replies(life).at(-1)?.type, 'reply.abort');
});

suite('at the time limit the answer says whether the request may have run', () => {
  const sent = aLife();
  place(sent, 'u-1');
  sent.send({ type: 'request.timer-fired', timer: 'deadline' }, 3_000);
  const unsent = aLife();
  unsent.send({ type: 'request.timer-fired', timer: 'deadline' }, 3_000);
  const statuses = [sent, unsent].map((life) => {
    const reply = replies(life).at(-1);
    return reply?.type === 'reply.refuse' && reply.status;
  });
  assert.equal(statuses, [504, 503]);
});

suite('a request that no upstream takes is refused early, with a time to come back', () => {
  const life = aLife();
  life.send({ type: 'fleet.not-placed', reason: 'none-usable' });
  life.send({ type: 'request.timer-fired', timer: 'place' }, 25);
  life.send({ type: 'fleet.not-placed', reason: 'none-usable' }, 100);
  const [reply] = replies(life);
  assert.ok(reply?.type === 'reply.refuse' && reply.status === 503 && reply.retryAfterMs);
});

suite('a caller that leaves ends the attempt', () => {
  const life = aLife();
  place(life, 'u-1');
  const commands = life.send({ type: 'caller.disconnected' });
  assert.ok(commands.some(({ kind }) => kind === 'abort'));
});

/** Whatever surroundings may do to a request, as numbers that `play` turns into messages. */
type Move = { kind: number; value: number; afterMs: number };

const ENDS: readonly core.gateway.attemptResult.Result[] = [
  REJECTED,
  BROKEN,
  fixtures.anAnsweredAttempt(200),
  fixtures.anAnsweredAttempt(200, false),
  fixtures.anAnsweredAttempt(500),
  fixtures.anAnsweredAttempt(503),
  { kind: 'unsent', reason: 'unreachable', detail: '' },
];

function play(given: Life, { kind, value, afterMs }: Move): void {
  const attempt = attemptOf(given);
  const head = fixtures.aResponseHead();
  const messages: readonly Message[] = [
    { type: 'fleet.placed', destination: fixtures.aDestination(`u-${value}`) },
    { type: 'fleet.not-placed', reason: 'none-usable' },
    { type: 'retry-budget.decided', isGranted: value % 2 === 0 },
    { type: 'attempt.ended', attempt, end: ENDS[value % ENDS.length] ?? REJECTED },
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
  ];
  const message = messages[kind % messages.length];
  if (message) given.send(message, afterMs);
}

/** Attempts that may have run: sent, and neither vouched for nor unsent. */
function possibleRuns(commands: readonly Command[]): number {
  const sent = commands.filter(({ kind }) => kind === 'send').length;
  const notRun = commands.filter(
    (each) =>
      each.kind === 'report' && (each.outcome === 'rejected' || each.outcome === 'unreachable'),
  ).length;
  return sent - notRun;
}

suite('whatever happens: runs stay within the route’s bound, and "not run" is true', () => {
  const moves = fastCheck.array(
    fastCheck.record({
      kind: fastCheck.nat(8),
      value: fastCheck.nat(9),
      afterMs: fastCheck.nat(200),
    }),
    { maxLength: 40 },
  );
  const repetition = fastCheck.constantFrom('at-most-once', 'retryable', 'resumable' as const);
  const delivery = fastCheck.constantFrom('whole', 'stream' as const);
  fastCheck.assert(
    fastCheck.property(
      moves,
      repetition,
      delivery,
      fastCheck.integer({ min: 1, max: 3 }),
      (given, kind, how, maxRuns) => {
        const life = aLife({ retryPolicy: kind, responseMode: how, maxRuns });
        given.forEach((move) => play(life, move));
        const runs = possibleRuns(life.life.commands);
        assert.ok(runs <= (kind === 'at-most-once' ? 1 : maxRuns), `${runs} runs`);
        const refusal = replies(life).find((each) => each.type === 'reply.refuse');
        if (refusal?.type === 'reply.refuse' && refusal.status === 503) assert.is(runs, 0);
        const finals = ['reply.complete', 'reply.end', 'reply.abort', 'reply.refuse'];
        assert.ok(replies(life).filter(({ type }) => finals.includes(type)).length <= 1);
      },
    ),
    { ...fixtures.seeded(), numRuns: 2_000 },
  );
});

suite.run();
