/**
 * Requests that wait for a place at an instance: woken by freed capacity, in order of their claims, refused in
 * time. Patterns: "one account's burst", "half of the upstreams gone", "a burst of long prompts".
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fc from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('fleet: waiting requests');
const { aContendedFleet, aFleetTask, aWaitingRequest, occupy } = fixtures.contendedFleet;

/** Limits of wait: 0.75 of 800 ms; a request may wait at the instance for 100 ms. */
const FULL_MS = 680;

function ended(requestId: string, upstream = 'u-0'): core.messages.FleetMessage {
  return { type: 'fleet.attempt-ended', requestId, upstream, outcome: 'answered' };
}

/** An engine that has a little too much work for another request. */
function aFullFleet(readMs = FULL_MS) {
  const fleet = aFleetTask(aContendedFleet());
  occupy(fleet, 'before', readMs);
  return fleet;
}

suite('a request without a place waits, and is placed by the event that frees capacity', () => {
  const fleet = aFullFleet();
  fleet.place(aWaitingRequest('a'), 0);
  assert.equal(fleet.answersTo('a'), ['fleet.queued']);
  fleet.tell(ended('before'), 30);
  assert.equal(fleet.answersTo('a'), ['fleet.queued', 'fleet.placed']);
  assert.is(fleet.task.state.waiting.size, 0);
});

suite('the head of an answer frees capacity as well', () => {
  const fleet = aFullFleet();
  fleet.place(aWaitingRequest('a'), 0);
  const selfReport = fixtures.signals();
  const head = { type: 'fleet.upstream-responded', upstream: 'u-0', requestId: 'before' } as const;
  fleet.tell({ ...head, selfReport: undefined }, 10);
  assert.equal(fleet.answersTo('a'), ['fleet.queued', 'fleet.placed'].slice(0, 1));
  fleet.tell({ ...head, selfReport }, 20);
  fleet.tell({ type: 'fleet.waiting-due' }, 60);
  assert.equal(fleet.answersTo('a'), ['fleet.queued', 'fleet.placed']);
});

suite('a request for which no place will be free in time is refused at once', () => {
  const fleet = aFullFleet(3_000);
  fleet.place(aWaitingRequest('a'), 0);
  assert.equal(fleet.answersTo('a'), ['fleet.not-placed']);
  const refusal = fleet.refusalOf('a');
  assert.ok(refusal?.type === 'fleet.not-placed' && (refusal.retryAfterMs ?? 0) >= 250);
  assert.is(fleet.task.state.waiting.size, 0);
});

suite('a request is refused when its own waiting time is over', () => {
  const fleet = aFullFleet();
  fleet.place(aWaitingRequest('a'), 0);
  fleet.tell({ type: 'fleet.waiting-due' }, 99);
  assert.equal(fleet.answersTo('a'), ['fleet.queued']);
  fleet.tell({ type: 'fleet.waiting-due' }, 100);
  assert.equal(fleet.answersTo('a'), ['fleet.queued', 'fleet.not-placed']);
});

suite('a request whose first token would come after its deadline is refused at once', () => {
  const fleet = aFleetTask(aContendedFleet());
  const prompt = fixtures.contendedFleet.aLongPrompt('a', 68_000);
  fleet.place(aWaitingRequest('a', { prompt }, { deadlineAtMs: 900 }), 0);
  assert.equal(fleet.answersTo('a'), ['fleet.not-placed']);
});

/** Guards against a queue that wakes again and again while nothing changes. */
suite('one timer wakes the queue, for the earliest time and not more often than each 25 ms', () => {
  const fleet = aFullFleet();
  const delays = Array.from({ length: 20 }, (_, n) => {
    fleet.place(aWaitingRequest(`r-${n}`), 1);
    const timers = fleet.task.commands.filter(({ kind }) => kind === 'schedule-waiting');
    assert.is(timers.length, 1);
    return timers.map((each) => (each.kind === 'schedule-waiting' ? each.delayMs : 0))[0] ?? 0;
  });
  assert.ok(Math.min(...delays) >= 24, `${delays}`);
  const [due] = fleet.tell({ type: 'fleet.waiting-due' }, 30).slice(-1);
  assert.ok(due?.kind === 'schedule-waiting' && due.delayMs >= 24, JSON.stringify(due));
});

suite(
  'the urgent rank comes first, then the account with less use, then the earlier request',
  () => {
    const fleet = aFullFleet();
    const { ledger } = fleet.task.state;
    const charge = { service: 'models', account: core.shares.ledger.keyOf('heavy'), work: 90_000 };
    core.shares.ledger.charge(ledger, 'past', charge, fixtures.anInstant(0));
    const ask = (requestId: string, clientAccount: string, rank: number, atMs: number) => {
      const prompt = fixtures.contendedFleet.aLongPrompt(requestId, 13_600);
      const waiting = { rank, receivedAtMs: atMs, maxMs: 700 };
      fleet.place(aWaitingRequest(requestId, { prompt, clientAccount }, waiting), atMs);
    };
    ask('heavy', 'heavy', 1, 0);
    ask('light-1', 'light', 1, 1);
    ask('light-2', 'light', 1, 2);
    ask('urgent', 'heavy', 0, 3);
    const placed = fleet
      .tell(ended('before'), 10)
      .flatMap((command) =>
        command.kind === 'record-wait' ? [command.placementRequest.requestId] : [],
      );
    assert.equal(placed, ['urgent', 'light-1', 'light-2']);
    assert.equal([...fleet.task.state.waiting.keys()], ['heavy']);
  },
);

suite(
  'a caller that disconnects leaves the queue, and a place just given to it is free again',
  () => {
    const fleet = aFullFleet();
    fleet.place(aWaitingRequest('a'), 0);
    fleet.tell({ type: 'fleet.withdraw', requestId: 'a' }, 5);
    assert.is(fleet.task.state.waiting.size, 0);
    fleet.place(aWaitingRequest('b'), 5);
    fleet.tell(ended('before'), 6);
    const at = () => fleet.task.state.registry.upstreams.get('u-0')?.inFlight.size;
    assert.is(at(), 1);
    fleet.tell({ type: 'fleet.withdraw', requestId: 'b' }, 6);
    assert.is(at(), 0);
  },
);

suite('the queue is bounded', () => {
  const fleet = aFullFleet();
  const ids = Array.from({ length: 200 }, (_, n) => `r-${n}`);
  ids.forEach((id) => fleet.place(aWaitingRequest(id), 0));
  assert.ok(fleet.task.state.waiting.size <= core.shares.waitingQueue.MAX_WAITING);
  assert.ok(ids.every((id) => fleet.answersTo(id).length > 0));
});

suite('services without predictive load control decide as before', () => {
  const fleet = aFleetTask(aContendedFleet(1, { features: new Set() }));
  occupy(fleet, 'before', FULL_MS);
  fleet.place(aWaitingRequest('a'), 0);
  assert.equal(fleet.answersTo('a'), ['fleet.not-placed']);
  const refusal = fleet.refusalOf('a');
  assert.ok(refusal?.type === 'fleet.not-placed' && refusal.retryAfterMs === undefined);
  assert.is(fleet.task.state.waiting.size, 0);
  assert.is(fleet.task.state.ledger.own.size, 0);
});

suite('half of the upstreams gone: a request waits, and is placed when one is back', () => {
  const fleet = aFleetTask(aContendedFleet(1));
  const upstream = fleet.task.state.registry.upstreams.get('u-0');
  Object.assign(upstream ?? {}, { reachability: { kind: 'silent' } });
  fleet.place(aWaitingRequest('a'), 0);
  assert.equal(fleet.answersTo('a'), ['fleet.queued']);
  const probe = { kind: 'health', upstream: 'u-0', address: 'u-0:1', path: '/' } as const;
  const result = { kind: 'healthy', coldMs: 0 } as const;
  fleet.tell({ type: 'fleet.probe-finished', probe, result }, 50);
  assert.equal(fleet.answersTo('a'), ['fleet.queued', 'fleet.placed']);
});

/** Guards against requests that are held for ever, also when the wall clock jumps. */
suite('every request is answered within its waiting time, whatever the wall clock does', () => {
  const event = fc.record({
    afterMs: fc.integer({ min: 0, max: 40 }),
    wallJumpMs: fc.integer({ min: -100_000_000, max: 100_000_000 }),
    what: fc.constantFrom('place', 'end', 'due'),
    account: fc.constantFrom('a', 'b', 'c'),
    rank: fc.integer({ min: 0, max: 2 }),
  });
  const property = fc.property(fc.array(event, { maxLength: 60 }), (events) => {
    const fleet = aFullFleet();
    const asked: { id: string; atMs: number }[] = [];
    let nowMs = 0;
    let wallMs = 0;
    events.forEach(({ afterMs, wallJumpMs, what, account, rank }, n) => {
      nowMs += afterMs;
      wallMs += afterMs + wallJumpMs;
      const clientAccount = account;
      if (what === 'place') {
        const id = `r-${n}`;
        asked.push({ id, atMs: nowMs });
        const request = aWaitingRequest(id, { clientAccount }, { rank, receivedAtMs: nowMs });
        fleet.place(request, nowMs, wallMs);
      } else if (what === 'end') fleet.tell(ended('before'), nowMs, wallMs);
      else fleet.tell({ type: 'fleet.waiting-due' }, nowMs, wallMs);
    });
    const untilMs = nowMs + 101;
    fleet.tell({ type: 'fleet.waiting-due' }, untilMs, wallMs - 50_000);
    asked.forEach(({ id }) => {
      const last = fleet.answersTo(id).at(-1);
      assert.ok(last === 'fleet.placed' || last === 'fleet.not-placed', `${id}: ${last}`);
    });
    assert.is(fleet.task.state.waiting.size, 0);
  });
  fc.assert(property, fixtures.seeded());
});

suite.run();
