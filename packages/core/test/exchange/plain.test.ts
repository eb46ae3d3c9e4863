/**
 * Guards against a second send of a request that may have run, and against a false "not run" to its
 * caller. Both come about when a claim is refused or a call breaks off.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('lifecycle of a plain request');

type State = core.exchange.plain.State;
type Message = core.messages.ExchangeMessage;
type Refusal = Extract<core.messages.CallerResponse, { type: 'response.refused' }>;

const REQUEST_ID = 'request-1';
const GRANTED: Message = {
  type: 'admission.answered',
  requestId: REQUEST_ID,
  answer: { kind: 'granted' },
};

function aPlainRequest(method: string, idempotencyKey?: string) {
  return {
    kind: 'plain' as const,
    requestId: REQUEST_ID,
    clientAccount: fixtures.aClientAccount(),
    service: fixtures.aPlainService(),
    method,
    path: '/bookings',
    headers: {},
    body: Buffer.from('{}'),
    idempotencyKey,
  };
}

function deliver(state: State, ...messages: readonly Message[]) {
  return messages.reduce(
    (step, message) => {
      const next = core.exchange.plain.decide(step.state, message, fixtures.anInstant());
      return { state: next.state, commands: [...step.commands, ...next.commands] };
    },
    { state, commands: [] as readonly core.exchange.Command[] },
  );
}

function refusalOf(commands: readonly core.exchange.Command[]): Refusal | undefined {
  return commands
    .flatMap((each) => (each.kind === 'answer' ? [each.answer] : []))
    .find((answer): answer is Refusal => answer.type === 'response.refused');
}

type RefusedClaim = Exclude<core.messages.ClaimAnswer, { kind: 'granted' | 'recorded' }>;

const REFUSED_CLAIMS: readonly {
  answer: RefusedClaim;
  code: core.results.CodeName;
  truth: core.results.ExecutionStatus;
}[] = [
  { answer: { kind: 'in-progress' }, code: 'inProgress', truth: 'unknown' },
  { answer: { kind: 'outcome-unknown' }, code: 'outcomeUnknown', truth: 'unknown' },
  { answer: { kind: 'key-reused' }, code: 'keyReused', truth: 'not-run' },
  { answer: { kind: 'key-expired' }, code: 'keyExpired', truth: 'not-run' },
  { answer: { kind: 'key-from-future' }, code: 'keyFromFuture', truth: 'not-run' },
  { answer: { kind: 'answer-not-kept', status: 201 }, code: 'answerNotKept', truth: 'ran' },
  {
    answer: {
      kind: 'unavailable',
      failure: core.results.failure('claimUnavailable', 'no answer'),
    },
    code: 'claimUnavailable',
    truth: 'not-run',
  },
];

REFUSED_CLAIMS.forEach(({ answer, code, truth }) => {
  suite(`a claim that is ${answer.kind} gives ${code}, ${truth}, and sends nothing`, () => {
    const state = core.exchange.plain.initial(aPlainRequest('POST', 'key-1'));
    const claimed: Message = { type: 'claim.answered', requestId: REQUEST_ID, answer };
    const { commands } = deliver(state, GRANTED, claimed);
    const refusal = refusalOf(commands);
    assert.is(refusal?.failure.code, code);
    assert.is(refusal?.truth, truth);
    assert.not.ok(commands.some(({ kind }) => kind === 'call' || kind === 'plan-call'));
    assert.is(commands.filter(({ kind }) => kind === 'release-admission').length, 1);
  });
});

const PROGRESSES: readonly core.messages.SendProgress[] = [
  { kind: 'not-connected' },
  { kind: 'vouched-not-run' },
  { kind: 'sending' },
  { kind: 'sent' },
  { kind: 'responding' },
];

PROGRESSES.forEach((progress) => {
  suite(`an unsafe request that broke off at ${progress.kind} is retried only if not run`, () => {
    const state = core.exchange.plain.initial(aPlainRequest('POST'));
    const placement: core.messages.Placement = {
      upstream: 'plain-1',
      reusePieces: 0,
      imports: [],
      storeAddress: '',
      expectedFirstTokenMs: 1,
    };
    const planned: Message = {
      type: 'placement.decided',
      requestId: REQUEST_ID,
      decision: { kind: 'placed', placement, candidates: [] },
    };
    const failure = core.results.failure('upstreamUnreachable', 'cut');
    const failed: Message = {
      type: 'call.failed',
      requestId: REQUEST_ID,
      progress,
      failure,
    };
    const { commands } = deliver(state, GRANTED, planned, failed);
    const isNotRun = core.exchange.executionStatusOf(progress) === 'not-run';
    const refusal = refusalOf(commands);
    assert.is(refusal === undefined, isNotRun);
    if (refusal) assert.is(refusal.truth, 'unknown');
    assert.is(commands.filter(({ kind }) => kind === 'call').length, 1);
  });
});

suite.run();
