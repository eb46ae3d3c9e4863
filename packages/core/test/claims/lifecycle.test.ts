import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('life of a claim');

const NOW_MS = fixtures.anInstant().wallMs;
const DAY_MS = 86_400_000;
const TIMED = fixtures.aUuidV7(NOW_MS, 1);
const SETTLE_MS = 1_000;
const LAPSE_MS = 30_000;

type Story = {
  fleet: fixtures.ClaimsFleet;
  answers: Map<string, core.messages.ClaimAnswer>;
  ask(at: number, requestId: string, request?: Partial<fixtures.KeyedRequest>): string;
};

/** Asks for claims and keeps the answers. */
function aStory(given: Partial<fixtures.ClaimsFleetOptions> = {}): Story {
  const fleet = fixtures.aClaimsFleet({ instances: 2, ...given });
  const answers = new Map<string, core.messages.ClaimAnswer>();
  fleet.onAnswered((_, { requestId, answer }) => answers.set(requestId, answer));
  return {
    fleet,
    answers,
    ask(at, requestId, request) {
      fleet.claim(at, { requestId, key: TIMED, ...request });
      fleet.advance(SETTLE_MS);
      return answers.get(requestId)?.kind ?? 'none';
    },
  };
}

function finish({ fleet, answers }: Story, at: number, requestId: string, body: Uint8Array): void {
  const answer = answers.get(requestId);
  if (answer?.kind !== 'granted') throw new Error('not granted');
  const whole = { status: 201, headers: {}, body };
  fleet.record(at, requestId, answer.claim, { kind: 'answered', answer: whole });
}

[TIMED, 'order-1'].forEach((key) => {
  suite(`a retry of ${key} at another instance gets the recorded answer`, () => {
    const story = aStory();
    assert.is(story.ask(0, 'first', { key }), 'granted');
    assert.is(story.ask(1, 'early', { key }), 'in-progress');
    finish(story, 0, 'first', Buffer.from('booked'));
    story.fleet.advance(SETTLE_MS);
    assert.is(story.ask(1, 'late', { key }), 'recorded');
    assert.is(story.ask(0, 'other', { key, digest: 'another' }), 'key-reused');
  });

  suite(`${key}, whose claimer died, becomes "outcome unknown" once no send is possible`, () => {
    const story = aStory();
    assert.is(story.ask(0, 'first', { key }), 'granted');
    story.fleet.restart(0);
    assert.is(story.ask(1, 'early', { key }), 'in-progress');
    story.fleet.advance(LAPSE_MS);
    assert.is(story.ask(1, 'late', { key }), 'outcome-unknown');
    assert.is(story.ask(0, 'later', { key }), 'outcome-unknown');
  });

  suite(`the holder of ${key} may still record what it saw after others took it for lost`, () => {
    const story = aStory();
    assert.is(story.ask(0, 'first', { key }), 'granted');
    story.fleet.advance(LAPSE_MS);
    assert.is(story.ask(1, 'early', { key }), 'outcome-unknown');
    finish(story, 0, 'first', Buffer.from('booked'));
    story.fleet.advance(SETTLE_MS);
    assert.is(story.ask(1, 'late', { key }), 'recorded');
  });
});

suite('a write that takes effect after its claim was refused does not hold the key', () => {
  const story = aStory({ instances: 2, hasPeers: false });
  story.fleet.claim(0, { requestId: 'first', key: TIMED });
  story.fleet.advance(1);
  story.fleet.setFault('late-writes');
  story.fleet.advance(50);
  story.fleet.setFault('outage');
  story.fleet.advance(2_050);
  assert.is(story.answers.get('first')?.kind, 'unavailable');
  story.fleet.setFault('none');
  story.fleet.advance(5_000);
  assert.is(story.ask(1, 'second'), 'granted');
});

suite('the answer to an earlier platform call is not taken for the answer to this one', () => {
  const replyTo = fixtures.aMailbox<core.messages.ClaimAnswered>();
  const claim = {
    type: 'claims.claim',
    requestId: 'r',
    clientAccount: 'alpha',
    digest: 'd',
  } as const;
  const state = core.claims.initial('start', 'instance-1');
  const tell = (message: core.messages.ClaimsMessage, atMs: number) =>
    core.claims.decide(state, message, fixtures.anInstant(atMs)).commands;
  const ticketOf = (commands: readonly core.claims.Command[]) =>
    commands.flatMap((each) => ('correlationId' in each ? [each.correlationId] : []))[0] ?? '';
  const answer = (ticket: string, given: core.messages.PlatformAnswer, atMs: number) =>
    tell({ type: 'platform.answered', correlationId: ticket, answer: given }, atMs);
  const lost = core.results.failure('platformUnavailable', 'no answer');
  const read = tell({ ...claim, key: TIMED, timeoutMs: 1_000, replyTo }, 0);
  const firstWrite = ticketOf(answer(ticketOf(read), { kind: 'missing' }, 1));
  const again = answer(firstWrite, { kind: 'unavailable', failure: lost }, 2);
  const secondWrite = ticketOf(answer(ticketOf(again), { kind: 'missing' }, 3));
  assert.equal(answer(firstWrite, { kind: 'written', version: 1 }, 4), []);
  assert.is(replyTo.received.length, 0);
  assert.ok(answer(secondWrite, { kind: 'written', version: 1 }, 5).length > 0);
});

suite('a key is judged by the time that it carries', () => {
  const { classifyAge: ageOf } = core.claims.keys;
  const key = (wallMs: number) => fixtures.aUuidV7(wallMs, 7);
  assert.is(ageOf(key(NOW_MS - DAY_MS - 1), NOW_MS, DAY_MS), 'expired');
  assert.is(ageOf(key(NOW_MS - DAY_MS), NOW_MS, DAY_MS), 'valid');
  assert.is(ageOf(key(NOW_MS + 61_000), NOW_MS, DAY_MS), 'from-future');
  assert.is(ageOf('order-1', NOW_MS, DAY_MS), 'valid');
});

suite('a page is reused for a later second, and refuses the keys of the earlier one', () => {
  const { keys, page } = core.claims;
  const terms = { wallMs: NOW_MS, retentionMs: DAY_MS };
  const earlier = keys.locate('alpha', TIMED);
  const reuseMs = NOW_MS + keys.RING_BUCKETS * keys.BUCKET_MS;
  const later = keys.locate('alpha', fixtures.aUuidV7(reuseMs, 1));
  assert.is(earlier.page, later.page);
  const claim = { kind: 'claim', digest: 'd', attemptId: 'a', atMs: 0, lapsesAtMs: 1 } as const;
  const first = page.applyAll(page.emptyPage(), [{ target: earlier, operation: claim }], terms);
  const second = page.applyAll(first.page, [{ target: later, operation: claim }], terms);
  assert.equal(Object.keys(second.page.claims), [later.name]);
  const third = page.applyAll(second.page, [{ target: earlier, operation: claim }], terms);
  assert.equal(third.applied, [{ kind: 'key-expired' }]);
});

suite('no page outgrows what the platform takes, and each key stays where it is', () => {
  const story = aStory({ instances: 1 });
  const count = 2_000;
  const body = Buffer.alloc(1_200, 'x');
  const keyAt = (number: number) => fixtures.aUuidV7(NOW_MS, number);
  const numbers = Array.from({ length: count }, (_, number) => number);
  numbers.forEach((number) =>
    story.fleet.claim(0, { requestId: `first-${number}`, key: keyAt(number) }),
  );
  story.fleet.advance(SETTLE_MS);
  numbers.forEach((number) => finish(story, 0, `first-${number}`, body));
  story.fleet.advance(SETTLE_MS);
  const sizes = [...story.fleet.objects.values()].map(({ value }) => JSON.stringify(value).length);
  assert.ok(sizes.length > 1, 'the page was split');
  assert.ok(Math.max(...sizes) < 1_000_000, `largest page ${Math.max(...sizes)} bytes`);
  const retried = numbers
    .filter((number) => number % 100 === 0)
    .map((number) => story.ask(0, `retry-${number}`, { key: keyAt(number) }));
  assert.equal(new Set(retried), new Set(['recorded', 'answer-not-kept']));
});

suite('an answer that is too large is not kept, and a retry is told that it ran', () => {
  const story = aStory();
  story.ask(0, 'first');
  finish(story, 0, 'first', Buffer.alloc(core.claims.outcomes.MAX_KEPT_ANSWER_BYTES + 1));
  story.fleet.advance(SETTLE_MS);
  assert.is(story.ask(1, 'second'), 'answer-not-kept');
});

suite('an outage is answered at once after it was noticed, and ends by itself', () => {
  const story = aStory();
  story.fleet.setFault('outage');
  assert.is(story.ask(0, 'first'), 'unavailable');
  story.fleet.claim(0, { requestId: 'second', key: 'order-2' });
  story.fleet.claim(1, { requestId: 'third', key: 'order-2' });
  story.fleet.advance(core.claims.attempts.COORDINATOR_TIMEOUT_MS + 1);
  assert.is(story.answers.get('second')?.kind, 'unavailable');
  assert.is(story.answers.get('third')?.kind, 'unavailable');
  story.fleet.setFault('none');
  story.fleet.advance(2 * core.claims.PROBE_MS);
  assert.is(story.ask(1, 'fourth', { key: 'order-2' }), 'granted');
});

suite.run();
