/**
 * Guards against gaps and duplicates in a caller's token stream, a false "not run", and placements
 * that are never reported, when connections to engines break off at any point of a run.
 */
import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('lifecycle of a prompt');

const FAULTS: readonly fixtures.Fault[] = [
  'none',
  'before-connect',
  'vouched-not-run',
  'while-sending',
  'after-sending',
  'within-answer',
  'lost-last-token',
  'silent',
];
const ENGINES: readonly fixtures.RunAfterDisconnect[] = ['keeps-run', 'lost-run'];
const NOT_RUN: readonly fixtures.Fault[] = ['before-connect', 'vouched-not-run'];
const WHOLE = Array.from({ length: fixtures.PROMPT_TOKENS }, (_, at) => `<${at}>`).join('');

function textOf({ commands }: fixtures.PromptScenario): string {
  return commands
    .flatMap((each) =>
      each.kind === 'answer' && each.answer.type === 'response.token' ? [each.answer.text] : [],
    )
    .join('');
}

function lastAnswer({
  commands,
}: fixtures.PromptScenario): core.messages.CallerResponse | undefined {
  return commands.flatMap((each) => (each.kind === 'answer' ? [each.answer] : [])).at(-1);
}

function count({ commands }: fixtures.PromptScenario, kind: core.exchange.Command['kind']): number {
  return commands.filter((each) => each.kind === kind).length;
}

/** Number of placements by routing, each of which must be reported once. */
function placements({ commands }: fixtures.PromptScenario): number {
  return commands.filter((each) => each.kind === 'record-event' && each.name === 'promptPlaced')
    .length;
}

FAULTS.forEach((fault) => {
  ENGINES.forEach((engine) => {
    suite(`fault ${fault}, engine ${engine}: the caller gets the complete text once`, () => {
      const scenario = fixtures.runPrompt([fault], engine);
      assert.is(lastAnswer(scenario)?.type, 'response.ended');
      assert.is(textOf(scenario), WHOLE);
      assert.is(count(scenario, 'release-admission'), 1);
      assert.is(count(scenario, 'report'), placements(scenario));
    });
  });

  suite(`fault ${fault} at the only replica: "not run" is reported only if true`, () => {
    const scenario = fixtures.runPrompt([fault, 'before-connect', 'before-connect'], 'lost-run', [
      'engine-1',
    ]);
    const last = lastAnswer(scenario);
    if (fault === 'none') return assert.is(last?.type, 'response.ended');
    const isTrue = NOT_RUN.includes(fault);
    assert.ok(last?.type === 'response.refused' && (last.truth === 'not-run') === isTrue);
    return assert.is(count(scenario, 'report'), placements(scenario));
  });
});

suite('an engine that kept the run resumes it on a new connection', () => {
  const scenario = fixtures.runPrompt(['within-answer'], 'keeps-run');
  assert.is(count(scenario, 'resume'), 1);
  assert.is(count(scenario, 'run'), 1);
});

suite('a stalled connection is replaced, with the idle connections to that upstream', () => {
  const scenario = fixtures.runPrompt(['silent'], 'keeps-run');
  assert.is(count(scenario, 'replace-connections'), 1);
  assert.is(count(scenario, 'resume'), 1);
});

suite(
  'for any faults, the text has no gap or duplicate, and each placement is reported once',
  () => {
    const faults = fastCheck.array(fastCheck.constantFrom(...FAULTS), { maxLength: 12 });
    fastCheck.assert(
      fastCheck.property(faults, fastCheck.constantFrom(...ENGINES), (chosen, engine) => {
        const scenario = fixtures.runPrompt(chosen, engine);
        assert.ok(WHOLE.startsWith(textOf(scenario)));
        assert.is(lastAnswer(scenario)?.type === 'response.ended', textOf(scenario) === WHOLE);
        assert.is(count(scenario, 'release-admission'), 1);
        assert.is(count(scenario, 'report'), placements(scenario));
      }),
      fixtures.seeded(),
    );
  },
);

const PLACED: core.messages.ExchangeMessage = {
  type: 'placement.decided',
  requestId: 'request-1',
  decision: {
    kind: 'placed',
    candidates: [],
    placement: {
      upstream: 'engine-1',
      reusePieces: 0,
      imports: [],
      storeAddress: '',
      expectedFirstTokenMs: 1,
    },
  },
};
const ADMITTED: core.messages.ExchangeMessage = {
  type: 'admission.answered',
  requestId: 'request-1',
  answer: { kind: 'granted' },
};

suite('a placement made after the caller disconnected is reported as cancelled', () => {
  const scenario = fixtures.aPromptScenario();
  scenario.tell({ type: 'task.start' });
  scenario.tell(ADMITTED);
  scenario.tell({ type: 'exchange.caller-disconnected' });
  assert.is(count(scenario, 'release-admission'), 1);
  scenario.tell(PLACED);
  assert.is(count(scenario, 'report'), 1);
  assert.is(scenario.state.phase.kind, 'ended');
});

suite('a slow caller pauses the stream and the progress timer', () => {
  const scenario = fixtures.aPromptScenario();
  [{ type: 'task.start' } as const, ADMITTED, PLACED].forEach(scenario.tell);
  const paused = scenario.tell({ type: 'exchange.flow-control', flow: 'paused' });
  assert.equal(
    paused.map((each) => each.kind),
    ['flow', 'unschedule'],
  );
  const open = scenario.tell({ type: 'exchange.flow-control', flow: 'open' });
  assert.equal(
    open.map((each) => each.kind),
    ['flow', 'schedule'],
  );
});

suite('retries are refused when the budget is used up, until requests refill it', () => {
  const { full, recordRequest, spendRetry, MAX_SAVED_RETRIES } = core.exchange.retryBudget;
  let budget = full;
  for (let used = 0; used < MAX_SAVED_RETRIES; used += 1) budget = spendRetry(budget).budget;
  assert.is(spendRetry(budget).answer, 'refused');
  for (let begun = 0; begun < 6; begun += 1) budget = recordRequest(budget);
  assert.is(spendRetry(budget).answer, 'granted');
});

suite.run();
