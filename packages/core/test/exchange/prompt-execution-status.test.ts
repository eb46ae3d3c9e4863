/**
 * Guards against a refusal that reports "not run" because the last attempt never reached an engine,
 * although an earlier attempt of the prompt may have run.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('execution status of a refused prompt');

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

/** One attempt that breaks off; if the engine may have the run, its resumption breaks off too. */
function anInterruptedAttempt(
  progress: core.messages.SendProgress,
  at: number,
): readonly Message[] {
  const failed: Message = {
    type: 'run.failed',
    runId: `request-1.${at + 1}`,
    progress,
    failure: core.results.failure('runLost', 'broken off'),
  };
  const isResumed = progress.kind === 'responding' || progress.kind === 'sent';
  const failures = isResumed ? [failed, failed] : [failed];
  const granted: Message = { type: 'retry-budget.answered', answer: 'granted' };
  return [aPlacedPlan(`engine-${at}`), ...failures, granted];
}

/** A prompt whose runs broke off, each at the given progress. */
function aPromptAfter(progresses: readonly core.messages.SendProgress[]): State {
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
  const broken = progresses.flatMap((progress, at) => anInterruptedAttempt(progress, at));
  return [granted, ...broken].reduce(
    (state, message) => core.exchange.prompt.decide(state, message, fixtures.anInstant()).state,
    core.exchange.promptState.initial(request),
  );
}

function executionStatusAfter(progresses: readonly core.messages.SendProgress[], message: Message) {
  const step = core.exchange.prompt.decide(aPromptAfter(progresses), message, fixtures.anInstant());
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
  const progresses = before.map(({ kind }) => kind).join(', then ') || 'no run';
  suite(`after ${progresses}, a refusal for lack of an upstream reports ${truth}`, () => {
    assert.is(executionStatusAfter(before, REFUSED_PLAN), truth);
  });

  suite(`after ${progresses}, a missed deadline reports ${truth}`, () => {
    assert.is(
      executionStatusAfter(before, { type: 'exchange.timer-fired', timer: 'deadline' }),
      truth,
    );
  });
});

suite('a last attempt that did not run does not hide an earlier one that may have run', () => {
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
