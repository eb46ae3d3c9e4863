import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('truth of a refused prompt');

type State = ReturnType<typeof core.exchange.prompt.decide>['state'];
type Message = core.messages.ExchangeMessage;

const NO_UPSTREAM = core.results.failure('noUpstream', 'none left');
const REFUSED_PLAN: Message = {
  type: 'placement.decided',
  requestId: 'request-1',
  decision: { kind: 'refused', failure: NO_UPSTREAM, retryAfterMs: 1_000 },
};

function aPlacedPlan(upstream: string): Message {
  const placement: core.messages.Placement = {
    upstream,
    reusePieces: 0,
    imports: [],
    storeAddress: '',
    expectedFirstTokenMs: 1,
  };
  return {
    type: 'placement.decided',
    requestId: 'request-1',
    decision: { kind: 'placed', placement, candidates: [] },
  };
}

/** One attempt that breaks off; where the engine may know the run, its resumption breaks off too. */
function aBrokenAttempt(reach: core.messages.SendProgress, at: number): readonly Message[] {
  const failed: Message = {
    type: 'run.failed',
    runId: `request-1.${at + 1}`,
    progress: reach,
    failure: core.results.failure('runLost', 'broken off'),
  };
  const isResumed = reach.kind === 'responding' || reach.kind === 'sent';
  const failures = isResumed ? [failed, failed] : [failed];
  const granted: Message = { type: 'retry-budget.answered', answer: 'granted' };
  return [aPlacedPlan(`engine-${at}`), ...failures, granted];
}

/** A prompt whose runs broke off, each as far as its reach says. */
function aPromptAfter(reaches: readonly core.messages.SendProgress[]): State {
  const request = {
    kind: 'prompt' as const,
    requestId: 'request-1',
    clientAccount: fixtures.aClientAccount(),
    service: fixtures.aModelService(),
    prompt: 'a prompt',
    maxTokens: 4,
    offset: 0,
  };
  const granted: Message = {
    type: 'admission.answered',
    requestId: 'request-1',
    answer: { kind: 'granted' },
  };
  const broken = reaches.flatMap((reach, at) => aBrokenAttempt(reach, at));
  return [granted, ...broken].reduce(
    (state, message) => core.exchange.prompt.decide(state, message, fixtures.anInstant()).state,
    core.exchange.promptState.initial(request),
  );
}

function truthAfter(reaches: readonly core.messages.SendProgress[], message: Message) {
  const step = core.exchange.prompt.decide(aPromptAfter(reaches), message, fixtures.anInstant());
  const answers = step.commands.flatMap((each) => (each.kind === 'answer' ? [each.answer] : []));
  const [refusal] = answers;
  return refusal?.type === 'response.refused' ? refusal.truth : undefined;
}

const CASES: readonly {
  before: readonly core.messages.SendProgress[];
  truth: core.results.ExecutionStatus;
}[] = [
  { before: [], truth: 'not-run' },
  { before: [{ kind: 'not-connected' }], truth: 'not-run' },
  { before: [{ kind: 'vouched-not-run' }], truth: 'not-run' },
  { before: [{ kind: 'responding' }], truth: 'unknown' },
  { before: [{ kind: 'sending' }, { kind: 'not-connected' }], truth: 'unknown' },
];

CASES.forEach(({ before, truth }) => {
  const reaches = before.map(({ kind }) => kind).join(', then ') || 'no run';
  suite(`after ${reaches}, "no upstream" is told as ${truth}`, () => {
    assert.is(truthAfter(before, REFUSED_PLAN), truth);
  });

  suite(`after ${reaches}, a missed deadline is told as ${truth}`, () => {
    assert.is(truthAfter(before, { type: 'exchange.timer-fired', timer: 'deadline' }), truth);
  });
});

suite('the last attempt does not hide what an earlier one may have run', () => {
  const before: readonly core.messages.SendProgress[] = [
    { kind: 'responding' },
    { kind: 'not-connected' },
    { kind: 'not-connected' },
    { kind: 'not-connected' },
  ];
  const last = core.exchange.prompt.decide(
    core.exchange.prompt.decide(
      aPromptAfter(before.slice(0, 3)),
      aPlacedPlan('engine-3'),
      fixtures.anInstant(),
    ).state,
    {
      type: 'run.failed',
      runId: 'request-1.4',
      progress: { kind: 'not-connected' },
      failure: core.results.failure('upstreamUnreachable', 'refused'),
    },
    fixtures.anInstant(),
  );
  const refusal = last.commands.find((each) => each.kind === 'answer');
  assert.ok(refusal?.kind === 'answer' && refusal.answer.type === 'response.refused');
  assert.is(refusal.answer.truth, 'unknown');
});

suite.run();
