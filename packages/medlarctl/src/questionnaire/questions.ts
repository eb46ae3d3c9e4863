/**
 * The questions for a new team, as data. Each answer is checked with the schema of the field that
 * it fills, so that the terminal and a file of answers accept the same.
 */
import * as zod from 'zod';

import * as answers from './answers.js';

/** How a line is read before its value is checked. */
export type AnswerFormat = 'text' | 'number' | 'yes-or-no' | 'names';

/** Lists whose entries other answers refer to by name. */
export type ReferencedList = 'dataCentres' | 'services';

export type Question = {
  /** Key of the value in the answers. */
  field: string;
  text: string;
  format: AnswerFormat;
  /** Checks the value that was read. */
  schema: zod.ZodType;
  /** What an empty line stands for: the value of this line, or no value at all. */
  whenEmpty: { kind: 'required' } | { kind: 'omitted' } | { kind: 'line'; line: string };
  /** Asked only if an earlier answer of the same entry is this one. */
  onlyIf?: { field: string; value: string };
  /** Every name must be configured already or answered before. */
  mustExistIn?: ReferencedList;
};

export type ListName = 'clientAccounts' | 'services' | 'upstreams' | 'stores';

export type Section =
  /** Asked once; the values stand in the answers themselves. */
  | { kind: 'whole'; questions: readonly Question[] }
  /** Asked once; the values stand in an object of this name. */
  | { kind: 'object'; name: 'limits'; questions: readonly Question[] }
  /** Asked once for each entry. */
  | {
      kind: 'list';
      name: ListName;
      /** One entry, in words. */
      entry: string;
      isRequired: boolean;
      questions: readonly Question[];
    };

const { name, clientAccount, modelService, upstream, store } = answers.schemas;
const whole = answers.answersSchema.shape;
const limits = whole.limits.unwrap().shape;

const OMITTED = { kind: 'omitted' } as const;

function line(given: string): Question['whenEmpty'] {
  return { kind: 'line', line: given };
}

/** A question that is read as text and needs an answer, unless `given` says otherwise. */
function createQuestion(
  field: string,
  text: string,
  schema: zod.ZodType,
  given: Partial<Question> = {},
): Question {
  return { field, text, schema, format: 'text', whenEmpty: { kind: 'required' }, ...given };
}

function createNumberQuestion(
  field: string,
  text: string,
  schema: zod.ZodType,
  given: Partial<Question> = {},
): Question {
  return createQuestion(field, text, schema, { format: 'number', ...given });
}

const TEAM: readonly Question[] = [
  createQuestion('team', 'Name of the team', name),
  createQuestion('region', 'Region of its data centres', name),
  createQuestion('dataCentres', 'Its data centres (names, parted by commas)', whole.dataCentres, {
    format: 'names',
  }),
];

/** A credential is not asked for, since a terminal would show it: one is made. */
const CLIENT_ACCOUNT: readonly Question[] = [
  createQuestion('name', 'Name of the client account', name),
  createNumberQuestion('share', 'Its share when work has to wait', clientAccount.shape.share, {
    whenEmpty: line('1'),
  }),
];

const ifModel = { onlyIf: { field: 'kind', value: 'model' } };
const ifEngine = { onlyIf: { field: 'kind', value: 'engine' } };
const { weightVersion, adapter, priority, weighs, model } = modelService.shape;

const SERVICE: readonly Question[] = [
  createQuestion('kind', 'Kind of the service (model, plain)', zod.enum(['model', 'plain']), {
    whenEmpty: line('model'),
  }),
  createQuestion('name', 'Its name', name),
  createQuestion('model', 'Its model', model, ifModel),
  createQuestion('adapter', 'Adapter on the model (empty: none)', adapter, {
    ...ifModel,
    whenEmpty: OMITTED,
  }),
  createQuestion('weightVersion', 'Version of its weights', weightVersion, ifModel),
  createQuestion('priority', 'Its priority (short, normal, long)', priority, {
    whenEmpty: line('normal'),
  }),
  createQuestion('weighs', 'What it minds most (first-token, recompute, both)', weighs, {
    ...ifModel,
    whenEmpty: line('both'),
  }),
];

const UPSTREAM: readonly Question[] = [
  createQuestion('kind', 'Kind of the upstream (engine, plain)', upstream.shape.kind, {
    whenEmpty: line('engine'),
  }),
  createQuestion('name', 'Its name', name),
  createQuestion('address', 'Its address (HOST:PORT)', upstream.shape.address),
  createQuestion('dataCentre', 'Its data centre', name, { mustExistIn: 'dataCentres' }),
  createQuestion(
    'services',
    'Services that it serves (names, parted by commas)',
    upstream.shape.services,
    {
      format: 'names',
      mustExistIn: 'services',
    },
  ),
  createNumberQuestion(
    'slots',
    'Requests that it runs at once (empty: the default)',
    upstream.shape.slots,
    {
      whenEmpty: OMITTED,
    },
  ),
  createNumberQuestion(
    'coldSlots',
    'Requests that it bears at once in cold start (empty: the default)',
    upstream.shape.coldSlots,
    { ...ifEngine, whenEmpty: OMITTED },
  ),
  createNumberQuestion(
    'prefillTokensPerS',
    'Prompt tokens that it computes a second (empty: the default)',
    upstream.shape.prefillTokensPerS,
    { ...ifEngine, whenEmpty: OMITTED },
  ),
  createQuestion(
    'checksFencing',
    'Does it refuse an order with an old fencing number (yes, no)',
    upstream.shape.checksFencing,
    { format: 'yes-or-no' },
  ),
];

const STORE: readonly Question[] = [
  createQuestion('name', 'Name of the store', name),
  createQuestion('address', 'Its address (HOST:PORT)', store.shape.address),
  createQuestion('dataCentre', 'Its data centre', name, { mustExistIn: 'dataCentres' }),
  createNumberQuestion('memoryBytes', 'Bytes of its memory', store.shape.memoryBytes),
  createNumberQuestion('diskBytes', 'Bytes of its disk', store.shape.diskBytes),
  createNumberQuestion('linkBytesPerS', 'Bytes a second of its link', store.shape.linkBytesPerS),
];

const LIMITS: readonly Question[] = [
  createNumberQuestion(
    'maxBodyBytes',
    'Largest request in bytes (empty: as it is)',
    limits.maxBodyBytes,
    {
      whenEmpty: OMITTED,
    },
  ),
  createNumberQuestion(
    'contextBytesPerToken',
    'Bytes of kept context for one token (empty: as it is)',
    limits.contextBytesPerToken,
    { whenEmpty: OMITTED },
  ),
];

/** All questions in the order in which they are asked. */
export const SECTIONS: readonly Section[] = [
  { kind: 'whole', questions: TEAM },
  {
    kind: 'list',
    name: 'clientAccounts',
    entry: 'client account',
    isRequired: true,
    questions: CLIENT_ACCOUNT,
  },
  { kind: 'list', name: 'services', entry: 'service', isRequired: true, questions: SERVICE },
  { kind: 'list', name: 'upstreams', entry: 'upstream', isRequired: true, questions: UPSTREAM },
  { kind: 'list', name: 'stores', entry: 'store', isRequired: false, questions: STORE },
  { kind: 'object', name: 'limits', questions: LIMITS },
];
