/**
 * The questionnaire as a decision: which question is asked next, given the answers so far. It knows
 * no terminal; a shell shows what it says and hands it the lines that an operator types.
 */
import * as core from '@medlarweir/core';

import * as questions from './questions.js';
import * as read from './read.js';

type Entry = Readonly<Record<string, unknown>>;

/** What the next line answers. */
export type Position =
  | { kind: 'question'; section: number; question: number; entry: Entry }
  | { kind: 'another'; section: number }
  | { kind: 'finished' };

export type State = {
  position: Position;
  answers: Entry;
  /** Names that are configured already, so that answers may refer to them. */
  configured: read.Known['referred'];
};

export type Message = { kind: 'begin' } | { kind: 'line'; line: string };

export type Command =
  | { kind: 'ask'; text: string }
  | { kind: 'explain'; failure: core.results.Failure }
  /** All questions are answered; the answers are yet to be checked as a whole. */
  | { kind: 'finish'; answers: unknown };

export type Step = core.kernel.Step<State, Command>;

export function initial(current: core.configuration.Configuration | undefined): State {
  const names = (entries: readonly { name: string }[] = []) => entries.map(({ name }) => name);
  return {
    position: { kind: 'finished' },
    answers: {},
    configured: { dataCentres: names(current?.dataCentres), services: names(current?.services) },
  };
}

export function decide(state: State, message: Message): Step {
  switch (message.kind) {
    case 'begin':
      return enter({ ...state, answers: {} }, 0);
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

type Asking = Extract<Position, { kind: 'question' }>;

function onAnswer(state: State, position: Asking, line: string): Step {
  const asked = sectionAt(position.section).questions[position.question];
  if (!asked) return leave(state, position);
  const answer = read.read(asked, line, knownAt(state, position));
  if (answer.isErr()) return explain(state, answer.error);
  const entry =
    answer.value === undefined
      ? position.entry
      : { ...position.entry, [asked.field]: answer.value };
  return advance(state, { ...position, entry, question: position.question + 1 });
}

function onAnother(
  state: State,
  { section }: Extract<Position, { kind: 'another' }>,
  line: string,
): Step {
  const isWanted = line.trim() === '' ? false : read.toBoolean(line);
  if (isWanted === undefined) {
    const detail = `expected yes or no; found ${JSON.stringify(line.trim())}`;
    return explain(state, core.results.failure('invalidInput', detail));
  }
  if (!isWanted) return enter(state, section + 1);
  return advance(state, { kind: 'question', section, question: 0, entry: {} });
}

/** Says what was wrong and asks the same again. */
function explain(state: State, failure: core.results.Failure): Step {
  return { state, commands: [{ kind: 'explain', failure }, ask(state)] };
}

function enter(state: State, at: number): Step {
  const section = questions.SECTIONS[at];
  if (!section) {
    const finished: State = { ...state, position: { kind: 'finished' } };
    return { state: finished, commands: [{ kind: 'finish', answers: state.answers }] };
  }
  const isOptional = section.kind === 'list' && !section.isRequired;
  if (!isOptional) return advance(state, { kind: 'question', section: at, question: 0, entry: {} });
  const answers = { ...state.answers, [section.name]: [] };
  return moveTo({ ...state, answers }, { kind: 'another', section: at });
}

/** Moves to the first question from here on that applies to the entry. */
function advance(state: State, position: Asking): Step {
  const { section, entry } = position;
  const next = sectionAt(section).questions.findIndex(
    ({ onlyIf }, at) =>
      at >= position.question && (!onlyIf || entry[onlyIf.field] === onlyIf.value),
  );
  if (next < 0) return leave(state, position);
  return moveTo(state, { ...position, question: next });
}

/** Keeps a whole entry and moves on. */
function leave(state: State, { section: at, entry }: Asking): Step {
  const section = sectionAt(at);
  switch (section.kind) {
    case 'whole':
      return enter({ ...state, answers: { ...state.answers, ...entry } }, at + 1);
    case 'object':
      return enter({ ...state, answers: { ...state.answers, [section.name]: entry } }, at + 1);
    case 'list': {
      const entries = [...entriesOf(state, section.name), entry];
      const answers = { ...state.answers, [section.name]: entries };
      return moveTo({ ...state, answers }, { kind: 'another', section: at });
    }
    default:
      return core.results.assertNever(section);
  }
}

function moveTo(state: State, position: Position): Step {
  const moved = { ...state, position };
  return { state: moved, commands: [ask(moved)] };
}

function ask({ position, answers }: State): Command {
  switch (position.kind) {
    case 'question': {
      const asked = sectionAt(position.section).questions[position.question];
      const usual = asked?.whenEmpty.kind === 'line' ? ` [${asked.whenEmpty.line}]` : '';
      return { kind: 'ask', text: `${asked?.text ?? ''}${usual}: ` };
    }
    case 'another': {
      const section = sectionAt(position.section);
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

function knownAt(state: State, { section: at }: Asking): read.Known {
  const section = sectionAt(at);
  const nameOf = (entry: Entry) => String(entry.name);
  const taken = section.kind === 'list' ? entriesOf(state, section.name).map(nameOf) : [];
  const answered = (state.answers.dataCentres ?? []) as readonly string[];
  const services = entriesOf(state, 'services').map(nameOf);
  const { configured } = state;
  const referred = {
    dataCentres: unique([...configured.dataCentres, ...answered]),
    services: unique([...configured.services, ...services]),
  };
  return { referred, taken };
}

function unique(names: readonly string[]): readonly string[] {
  return [...new Set(names)];
}
