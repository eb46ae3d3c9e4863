import * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as fastCheck from 'fast-check';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('life of a prompt');

const CUTS: readonly fixtures.Fault[] = [
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

/** Placements that routing made, each of which has to be reported once. */
function placements({ commands }: fixtures.PromptScenario): number {
  return commands.filter((each) => each.kind === 'record-event' && each.name === 'promptPlaced')
    .length;
}

CUTS.forEach((cut) => {
  ENGINES.forEach((engine) => {
    suite(`cut ${cut}, engine ${engine}: the caller gets the whole answer once`, () => {
      const story = fixtures.runPrompt([cut], engine);
      assert.is(lastAnswer(story)?.type, 'response.ended');
      assert.is(textOf(story), WHOLE);
      assert.is(count(story, 'release-admission'), 1);
      assert.is(count(story, 'report'), placements(story));
    });
  });

  suite(`cut ${cut} at the only replica: "not run" is said only where it is true`, () => {
    const story = fixtures.runPrompt([cut, 'before-connect', 'before-connect'], 'lost-run', [
      'engine-1',
    ]);
    const last = lastAnswer(story);
    if (cut === 'none') return assert.is(last?.type, 'response.ended');
    const isTrue = NOT_RUN.includes(cut);
    assert.ok(last?.type === 'response.refused' && (last.truth === 'not-run') === isTrue);
    return assert.is(count(story, 'report'), placements(story));
  });
});

suite('an engine that kept the run goes on with it on a new connection', () => {
  const story = fixtures.runPrompt(['within-answer'], 'keeps-run');
  assert.is(count(story, 'resume'), 1);
  assert.is(count(story, 'run'), 1);
});

suite('a silent connection is replaced, and the others to that upstream are doubted', () => {
  const story = fixtures.runPrompt(['silent'], 'keeps-run');
  assert.is(count(story, 'replace-connections'), 1);
  assert.is(count(story, 'resume'), 1);
});

suite(
  'whatever is cut, the text has no gap and no repetition, and places are given back once',
  () => {
    const cuts = fastCheck.array(fastCheck.constantFrom(...CUTS), { maxLength: 12 });
    fastCheck.assert(
      fastCheck.property(cuts, fastCheck.constantFrom(...ENGINES), (chosen, engine) => {
        const story = fixtures.runPrompt(chosen, engine);
        assert.ok(WHOLE.startsWith(textOf(story)));
        assert.is(lastAnswer(story)?.type === 'response.ended', textOf(story) === WHOLE);
        assert.is(count(story, 'release-admission'), 1);
        assert.is(count(story, 'report'), placements(story));
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

suite('a caller that goes away while its prompt is placed leaves no placement behind', () => {
  const story = fixtures.aPromptScenario();
  story.tell({ type: 'task.start' });
  story.tell(ADMITTED);
  story.tell({ type: 'exchange.caller-disconnected' });
  assert.is(count(story, 'release-admission'), 1);
  story.tell(PLACED);
  assert.is(count(story, 'report'), 1);
  assert.is(story.state.phase.kind, 'ended');
});

suite('a slow caller stops the stream, and its pause is no lack of progress', () => {
  const story = fixtures.aPromptScenario();
  [{ type: 'task.start' } as const, ADMITTED, PLACED].forEach(story.tell);
  const paused = story.tell({ type: 'exchange.flow-control', flow: 'paused' });
  assert.equal(
    paused.map((each) => each.kind),
    ['flow', 'unschedule'],
  );
  const open = story.tell({ type: 'exchange.flow-control', flow: 'open' });
  assert.equal(
    open.map((each) => each.kind),
    ['flow', 'schedule'],
  );
});

suite('retries end when the budget is used up, and requests fill it again', () => {
  const {
    full: fullBudget,
    recordRequest: onRequest,
    spendRetry: onRetry,
    MAX_SAVED_RETRIES,
  } = core.exchange.retryBudget;
  let budget = fullBudget;
  for (let used = 0; used < MAX_SAVED_RETRIES; used += 1) budget = onRetry(budget).budget;
  assert.is(onRetry(budget).answer, 'refused');
  for (let begun = 0; begun < 6; begun += 1) budget = onRequest(budget);
  assert.is(onRetry(budget).answer, 'granted');
});

suite.run();
