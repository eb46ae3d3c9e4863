/**
 * Guards against an idempotency key that runs a request twice, returns a wrong answer or stays
 * claimed for ever. Instances die after a claim, writes take effect after their timeout, pages fill
 * up or are reused, and the platform becomes unavailable.
 */
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

type Scenario = {
  fleet: fixtures.ClaimsFleet;
  answers: Map<string, core.messages.ClaimAnswer>;
  ask(at: number, requestId: string, request?: Partial<fixtures.KeyedRequest>): string;
};

/** Sends claims to a fleet and collects the answers. */
function aScenario(given: Partial<fixtures.ClaimsFleetOptions> = {}): Scenario {
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

function finish(
  { fleet, answers }: Scenario,
  at: number,
  requestId: string,
  body: Uint8Array,
): void {
  const answer = answers.get(requestId);
  if (answer?.kind !== 'granted') throw new Error('not granted');
  const response = { status: 201, headers: {}, body };
  fleet.record(at, requestId, answer.claim, { kind: 'answered', answer: response });
}

[TIMED, 'order-1'].forEach((key) => {
  suite(`a retry with key ${key} at another instance gets the recorded answer`, () => {
    const scenario = aScenario();
    assert.is(scenario.ask(0, 'first', { key }), 'granted');
    assert.is(scenario.ask(1, 'early', { key }), 'in-progress');
    finish(scenario, 0, 'first', Buffer.from('booked'));
    scenario.fleet.advance(SETTLE_MS);
    assert.is(scenario.ask(1, 'late', { key }), 'recorded');
    assert.is(scenario.ask(0, 'other', { key, digest: 'another' }), 'key-reused');
  });

  suite(`${key} becomes "outcome unknown" once its dead holder can no longer send`, () => {
    const scenario = aScenario();
    assert.is(scenario.ask(0, 'first', { key }), 'granted');
    scenario.fleet.restart(0);
    assert.is(scenario.ask(1, 'early', { key }), 'in-progress');
    scenario.fleet.advance(LAPSE_MS);
    assert.is(scenario.ask(1, 'late', { key }), 'outcome-unknown');
    assert.is(scenario.ask(0, 'later', { key }), 'outcome-unknown');
  });

  suite(`the holder of ${key} can still record an answer after others resolved its lapse`, () => {
    const scenario = aScenario();
    assert.is(scenario.ask(0, 'first', { key }), 'granted');
    scenario.fleet.advance(LAPSE_MS);
    assert.is(scenario.ask(1, 'early', { key }), 'outcome-unknown');
    finish(scenario, 0, 'first', Buffer.from('booked'));
    scenario.fleet.advance(SETTLE_MS);
    assert.is(scenario.ask(1, 'late', { key }), 'recorded');
  });
});

suite('a write that takes effect after its claim was refused does not keep the key claimed', () => {
  const scenario = aScenario({ instances: 2, hasPeers: false });
  scenario.fleet.claim(0, { requestId: 'first', key: TIMED });
  scenario.fleet.advance(1);
  scenario.fleet.setFault('late-writes');
  scenario.fleet.advance(50);
  scenario.fleet.setFault('outage');
  scenario.fleet.advance(2_050);
  assert.is(scenario.answers.get('first')?.kind, 'unavailable');
  scenario.fleet.setFault('none');
  scenario.fleet.advance(5_000);
  assert.is(scenario.ask(1, 'second'), 'granted');
});

suite('a late response to an earlier platform call is ignored', () => {
  const replyTo = fixtures.aMailbox<core.messages.ClaimAnswered>();
  const claim = {
    type: 'claims.claim',
    requestId: 'r',
    clientAccount: 'alpha',
    digest: 'd',
  } as const;
  const state = core.claims.initial('start', 'instance-1');
  const send = (message: core.messages.ClaimsMessage, atMs: number) =>
    core.claims.decide(state, message, fixtures.anInstant(atMs)).commands;
  const correlationIdOf = (commands: readonly core.claims.Command[]) =>
    commands.flatMap((each) => ('correlationId' in each ? [each.correlationId] : []))[0] ?? '';
  const answer = (correlationId: string, given: core.messages.PlatformAnswer, atMs: number) =>
    send({ type: 'platform.answered', correlationId, answer: given }, atMs);
  const failure = core.results.failure('platformUnavailable', 'no answer');
  const read = send({ ...claim, key: TIMED, timeoutMs: 1_000, replyTo }, 0);
  const firstWrite = correlationIdOf(answer(correlationIdOf(read), { kind: 'missing' }, 1));
  const again = answer(firstWrite, { kind: 'unavailable', failure }, 2);
  const secondWrite = correlationIdOf(answer(correlationIdOf(again), { kind: 'missing' }, 3));
  assert.equal(answer(firstWrite, { kind: 'written', version: 1 }, 4), []);
  assert.is(replyTo.received.length, 0);
  assert.ok(answer(secondWrite, { kind: 'written', version: 1 }, 5).length > 0);
});

suite('the age of a key follows from its timestamp', () => {
  const { classifyAge: ageOf } = core.claims.keys;
  const key = (wallMs: number) => fixtures.aUuidV7(wallMs, 7);
  assert.is(ageOf(key(NOW_MS - DAY_MS - 1), NOW_MS, DAY_MS), 'expired');
  assert.is(ageOf(key(NOW_MS - DAY_MS), NOW_MS, DAY_MS), 'valid');
  assert.is(ageOf(key(NOW_MS + 61_000), NOW_MS, DAY_MS), 'from-future');
  assert.is(ageOf('order-1', NOW_MS, DAY_MS), 'valid');
});

suite('a page that is reused for a later second refuses keys of the earlier one', () => {
  const { keys, page } = core.claims;
  const retention = { wallMs: NOW_MS, retentionMs: DAY_MS };
  const earlier = keys.locate('alpha', TIMED);
  const reuseMs = NOW_MS + keys.RING_BUCKETS * keys.BUCKET_MS;
  const later = keys.locate('alpha', fixtures.aUuidV7(reuseMs, 1));
  assert.is(earlier.page, later.page);
  const claim = { kind: 'claim', digest: 'd', attemptId: 'a', atMs: 0, lapsesAtMs: 1 } as const;
  const first = page.applyAll(page.emptyPage(), [{ target: earlier, operation: claim }], retention);
  const second = page.applyAll(first.page, [{ target: later, operation: claim }], retention);
  assert.equal(Object.keys(second.page.claims), [later.name]);
  const third = page.applyAll(second.page, [{ target: earlier, operation: claim }], retention);
  assert.equal(third.applied, [{ kind: 'key-expired' }]);
});

suite('full pages stay below the platform limit, and each key stays on its page', () => {
  const scenario = aScenario({ instances: 1 });
  const count = 2_000;
  const body = Buffer.alloc(1_200, 'x');
  const keyAt = (number: number) => fixtures.aUuidV7(NOW_MS, number);
  const numbers = Array.from({ length: count }, (_, number) => number);
  numbers.forEach((number) =>
    scenario.fleet.claim(0, { requestId: `first-${number}`, key: keyAt(number) }),
  );
  scenario.fleet.advance(SETTLE_MS);
  numbers.forEach((number) => finish(scenario, 0, `first-${number}`, body));
  scenario.fleet.advance(SETTLE_MS);
  const sizes = [...scenario.fleet.objects.values()].map(
    ({ value }) => JSON.stringify(value).length,
  );
  assert.ok(sizes.length > 1, 'the page was split');
  assert.ok(Math.max(...sizes) < 1_000_000, `largest page ${Math.max(...sizes)} bytes`);
  const retried = numbers
    .filter((number) => number % 100 === 0)
    .map((number) => scenario.ask(0, `retry-${number}`, { key: keyAt(number) }));
  assert.equal(new Set(retried), new Set(['recorded', 'answer-not-kept']));
});

suite('an answer that is too large is not kept, and a retry learns that the request ran', () => {
  const scenario = aScenario();
  scenario.ask(0, 'first');
  finish(scenario, 0, 'first', Buffer.alloc(core.claims.outcomes.MAX_KEPT_ANSWER_BYTES + 1));
  scenario.fleet.advance(SETTLE_MS);
  assert.is(scenario.ask(1, 'second'), 'answer-not-kept');
});

suite('a detected outage refuses claims immediately, and claims work again after it', () => {
  const scenario = aScenario();
  scenario.fleet.setFault('outage');
  assert.is(scenario.ask(0, 'first'), 'unavailable');
  scenario.fleet.claim(0, { requestId: 'second', key: 'order-2' });
  scenario.fleet.claim(1, { requestId: 'third', key: 'order-2' });
  scenario.fleet.advance(core.claims.attempts.COORDINATOR_TIMEOUT_MS + 1);
  assert.is(scenario.answers.get('second')?.kind, 'unavailable');
  assert.is(scenario.answers.get('third')?.kind, 'unavailable');
  scenario.fleet.setFault('none');
  scenario.fleet.advance(2 * core.claims.PROBE_MS);
  assert.is(scenario.ask(1, 'fourth', { key: 'order-2' }), 'granted');
});

suite.run();
