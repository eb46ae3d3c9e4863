/**
 * Decides which question of the questionnaire is asked next, given the answers so far. It does not
 * use the terminal: the caller executes its commands and passes in the lines that an operator types.
 */
import * as core from '@medlarweir/core';

import * as questions from './questions.js';
import * as lineParser from './line-parser.js';

type Entry = Readonly<Record<string, unknown>>;

/** The question that the next line answers. */
export type Position =
  | { kind: 'question'; sectionIndex: number; questionIndex: number; entry: Entry }
  | { kind: 'another'; sectionIndex: number }
  | { kind: 'finished' };

export type State = {
  position: Position;
  answers: Entry;
  /** Names in the active configuration, to which answers may refer. */
  configuredNames: lineParser.KnownNames['existing'];
};

export type Message = { kind: 'begin' } | { kind: 'line'; line: string };

export type Command =
  | { kind: 'ask'; text: string }
  | { kind: 'explain'; failure: core.results.Failure }
  /** All questions are answered; the caller still has to validate the answers as a whole. */
  | { kind: 'finish'; answers: unknown };

export type Step = core.kernel.Step<State, Command>;

export function initial(current: core.configuration.Configuration | undefined): State {
  const names = (entries: readonly { name: string }[] = []) => entries.map(({ name }) => name);
  return {
    position: { kind: 'finished' },
    answers: {},
    configuredNames: {
      dataCentres: names(current?.dataCentres),
      services: names(current?.services),
    },
  };
}

export function decide(state: State, message: Message): Step {
  switch (message.kind) {
    case 'begin':
      return enterSection({ ...state, answers: {} }, 0);
    case 'line':
      return onLine(state, message.line);
    default:
      return core.results.assertNever(message);
  }
}

function onLine(state: State, line: string): Step {
  const { position } = state;
  switch (position.kind) {
    case 'question':
      return onAnswer(state, position, line);
    case 'another':
      return onAnother(state, position, line);
    case 'finished':
      return { state, commands: [] };
    default:
      return core.results.assertNever(position);
  }
}

type QuestionPosition = Extract<Position, { kind: 'question' }>;

function onAnswer(state: State, position: QuestionPosition, line: string): Step {
  const asked = sectionAt(position.sectionIndex).questions[position.questionIndex];
  if (!asked) return completeEntry(state, position);
  const answer = lineParser.parse(asked, line, knownNamesAt(state, position));
  if (answer.isErr()) return rejectAnswer(state, answer.error);
  const entry =
    answer.value === undefined
      ? position.entry
      : { ...position.entry, [asked.field]: answer.value };
  return advanceToQuestion(state, {
    ...position,
    entry,
    questionIndex: position.questionIndex + 1,
  });
}

function onAnother(
  state: State,
  { sectionIndex }: Extract<Position, { kind: 'another' }>,
  line: string,
): Step {
  const isWanted = line.trim() === '' ? false : lineParser.parseBoolean(line);
  if (isWanted === undefined) {
    const detail = `expected yes or no; found ${JSON.stringify(line.trim())}`;
    return rejectAnswer(state, core.results.failure('invalidInput', detail));
  }
  if (!isWanted) return enterSection(state, sectionIndex + 1);
  return advanceToQuestion(state, { kind: 'question', sectionIndex, questionIndex: 0, entry: {} });
}

/** Explains the failure and asks the same question again. */
function rejectAnswer(state: State, failure: core.results.Failure): Step {
  return { state, commands: [{ kind: 'explain', failure }, commandFor(state)] };
}

function enterSection(state: State, at: number): Step {
  const section = questions.SECTIONS[at];
  if (!section) {
    const finished: State = { ...state, position: { kind: 'finished' } };
    return { state: finished, commands: [{ kind: 'finish', answers: state.answers }] };
  }
  const isOptional = section.kind === 'list' && !section.isRequired;
  if (!isOptional) {
    return advanceToQuestion(state, {
      kind: 'question',
      sectionIndex: at,
      questionIndex: 0,
      entry: {},
    });
  }
  const answers = { ...state.answers, [section.name]: [] };
  return moveTo({ ...state, answers }, { kind: 'another', sectionIndex: at });
}

/** Moves to the first question, from the position on, that applies to the entry. */
function advanceToQuestion(state: State, position: QuestionPosition): Step {
  const { sectionIndex, entry } = position;
  const next = sectionAt(sectionIndex).questions.findIndex(
    ({ onlyIf }, at) =>
      at >= position.questionIndex && (!onlyIf || entry[onlyIf.field] === onlyIf.value),
  );
  if (next < 0) return completeEntry(state, position);
  return moveTo(state, { ...position, questionIndex: next });
}

/** Stores a completed entry and moves to the next position. */
function completeEntry(state: State, { sectionIndex: at, entry }: QuestionPosition): Step {
  const section = sectionAt(at);
  switch (section.kind) {
    case 'whole':
      return enterSection({ ...state, answers: { ...state.answers, ...entry } }, at + 1);
    case 'object':
      return enterSection(
        { ...state, answers: { ...state.answers, [section.name]: entry } },
        at + 1,
      );
    case 'list': {
      const entries = [...entriesOf(state, section.name), entry];
      const answers = { ...state.answers, [section.name]: entries };
      return moveTo({ ...state, answers }, { kind: 'another', sectionIndex: at });
    }
    default:
      return core.results.assertNever(section);
  }
}

function moveTo(state: State, position: Position): Step {
  const moved = { ...state, position };
  return { state: moved, commands: [commandFor(moved)] };
}

function commandFor({ position, answers }: State): Command {
  switch (position.kind) {
    case 'question': {
      const asked = sectionAt(position.sectionIndex).questions[position.questionIndex];
      const defaultHint = asked?.whenEmpty.kind === 'line' ? ` [${asked.whenEmpty.line}]` : '';
      return { kind: 'ask', text: `${asked?.text ?? ''}${defaultHint}: ` };
    }
    case 'another': {
      const section = sectionAt(position.sectionIndex);
      const name = section.kind === 'list' ? section.entry : '';
      return { kind: 'ask', text: `Add another ${name} (yes, no) [no]: ` };
    }
    case 'finished':
      return { kind: 'finish', answers };
    default:
      return core.results.assertNever(position);
  }
}

function sectionAt(at: number): questions.Section {
  return questions.SECTIONS[at] ?? { kind: 'whole', questions: [] };
}

function entriesOf(
  { answers }: Pick<State, 'answers'>,
  list: questions.ListName,
): readonly Entry[] {
  return (answers[list] ?? []) as readonly Entry[];
}

function knownNamesAt(state: State, { sectionIndex: at }: QuestionPosition): lineParser.KnownNames {
  const section = sectionAt(at);
  const nameOf = (entry: Entry) => String(entry.name);
  const taken = section.kind === 'list' ? entriesOf(state, section.name).map(nameOf) : [];
  const answered = (state.answers.dataCentres ?? []) as readonly string[];
  const services = entriesOf(state, 'services').map(nameOf);
  const { configuredNames } = state;
  const referred = {
    dataCentres: unique([...configuredNames.dataCentres, ...answered]),
    services: unique([...configuredNames.services, ...services]),
  };
  return { existing: referred, taken };
}

function unique(names: readonly string[]): readonly string[] {
  return [...new Set(names)];
}
