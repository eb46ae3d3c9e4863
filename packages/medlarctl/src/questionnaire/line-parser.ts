/** Parses a line that an operator typed as the answer to a question, and validates it. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import type * as questions from './questions.js';

/** Names that answers may refer to, and names that are already taken. */
export type KnownNames = {
  existing: Readonly<Record<questions.ReferencedList, readonly string[]>>;
  /** Names of earlier entries of the same list. */
  taken: readonly string[];
};

/**
 * A value, or undefined for an omitted optional answer; a failure says what was expected and found.
 */
export type Answer = neverthrow.Result<unknown, core.results.Failure>;

export function parse(question: questions.Question, line: string, known: KnownNames): Answer {
  const given = line.trim();
  if (given !== '') return check(question, given, known);
  const { whenEmpty } = question;
  switch (whenEmpty.kind) {
    case 'required':
      return fail(question, 'expected an answer', given);
    case 'omitted':
      return neverthrow.ok(undefined);
    case 'line':
      return check(question, whenEmpty.line, known);
    default:
      return core.results.assertNever(whenEmpty);
  }
}

function check(question: questions.Question, given: string, known: KnownNames): Answer {
  const value = parseValue(question.format, given);
  if (value === undefined) return fail(question, EXPECTED_FORMATS[question.format], given);
  const checked = question.schema.safeParse(value);
  if (!checked.success) {
    return fail(question, checked.error.issues[0]?.message ?? 'expected another answer', given);
  }
  const fault = findFault(question, value, known);
  return fault === undefined ? neverthrow.ok(value) : fail(question, fault, given);
}

const EXPECTED_FORMATS: Readonly<Record<questions.AnswerFormat, string>> = {
  text: 'expected a text',
  number: 'expected a number',
  'yes-or-no': 'expected yes or no',
  names: 'expected names, separated by commas',
};

function parseValue(format: questions.AnswerFormat, given: string): unknown {
  switch (format) {
    case 'text':
      return given;
    case 'number':
      return Number.isFinite(Number(given)) ? Number(given) : undefined;
    case 'yes-or-no':
      return parseBoolean(given);
    case 'names':
      return given.split(/[\s,]+/).filter((name) => name !== '');
    default:
      return core.results.assertNever(format);
  }
}

export function parseBoolean(given: string): boolean | undefined {
  switch (given.trim().toLowerCase()) {
    case 'y':
    case 'yes':
      return true;
    case 'n':
    case 'no':
      return false;
    default:
      return undefined;
  }
}

function findFault(
  question: questions.Question,
  value: unknown,
  known: KnownNames,
): string | undefined {
  if (question.field === 'name' && known.taken.includes(String(value))) {
    return 'expected a name that was not answered before';
  }
  if (question.mustExistIn === undefined) return undefined;
  const names = known.existing[question.mustExistIn];
  const asked = Array.isArray(value) ? value.map(String) : [String(value)];
  if (asked.every((name) => names.includes(name))) return undefined;
  return `expected names among ${names.join(', ')}`;
}

const MAX_SHOWN_CHARACTERS = 80;

function fail(question: questions.Question, expected: string, given: string): Answer {
  const found = given === '' ? 'nothing' : JSON.stringify(given.slice(0, MAX_SHOWN_CHARACTERS));
  const detail = `${question.field}: ${expected}; found ${found}`;
  return neverthrow.err(core.results.failure('invalidInput', detail));
}
