/** Cuts connections of prompts; checks what callers received and whether "not run" answers are true. */
import * as fixtures from '@medlarweir/core/fixtures';

export type CutFigures = {
  cut: fixtures.Fault;
  /** Share of prompts answered completely, over engines that keep the run and engines that lost it. */
  answeredWhole: number;
  incompleteAnswers: number;
  falseNotRun: number;
};

const CUTS: readonly fixtures.Fault[] = [
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
/** With a single replica there is no other candidate, so the refusal is covered too. */
const REPLICAS: readonly (readonly string[])[] = [['a', 'b', 'c', 'd'], ['a']];
const WHOLE = Array.from({ length: fixtures.PROMPT_TOKENS }, (_, at) => `<${at}>`).join('');

export function measure(): readonly CutFigures[] {
  return CUTS.map((cut) => {
    const ends = REPLICAS.flatMap((replicas) =>
      ENGINES.map((engine) => endOf(fixtures.runPrompt([cut], engine, [...replicas]), cut)),
    );
    const share = ends.filter(({ isWhole }) => isWhole).length / ends.length;
    return {
      cut,
      answeredWhole: share,
      incompleteAnswers: ends.filter(({ isIncomplete }) => isIncomplete).length,
      falseNotRun: ends.filter(({ isFalse }) => isFalse).length,
    };
  });
}

function endOf({ commands }: fixtures.PromptScenario, cut: fixtures.Fault) {
  const answers = commands.flatMap((each) => (each.kind === 'answer' ? [each.answer] : []));
  const text = answers
    .flatMap((each) => (each.type === 'response.token' ? [each.text] : []))
    .join('');
  const last = answers.at(-1);
  const isEnded = last?.type === 'response.ended';
  const isToldNotRun = last?.type === 'response.refused' && last.truth === 'not-run';
  return {
    isWhole: isEnded && text === WHOLE,
    isIncomplete: (isEnded && text !== WHOLE) || !WHOLE.startsWith(text),
    isFalse: isToldNotRun && !NOT_RUN.includes(cut),
  };
}
