/**
 * Changes of the configuration: the differences between two generations, entry by entry. The lists
 * of a configuration are sets of named entries; their order has no meaning.
 */
import * as util from 'node:util';

import * as neverthrow from 'neverthrow';
import * as zod from 'zod';

import * as results from '../results/index.js';
import * as validation from './validation.js';
import * as schema from './schema.js';

function putSchema<Name extends schema.ListName>(list: Name) {
  return zod.strictObject({
    kind: zod.literal('put'),
    list: zod.literal(list),
    entry: schema.entrySchemas[list],
  });
}

const put = zod.discriminatedUnion('list', [
  putSchema('dataCentres'),
  putSchema('clientAccounts'),
  putSchema('services'),
  putSchema('upstreams'),
  putSchema('stores'),
]);
const listName = zod.enum(['dataCentres', 'clientAccounts', 'services', 'upstreams', 'stores']);
const remove = zod.strictObject({
  kind: zod.literal('remove'),
  list: listName,
  name: zod.string(),
});
const setLimits = zod.strictObject({
  kind: zod.literal('set-limits'),
  limits: schema.limitsSchema,
});

export const editSchema = zod.union([put, remove, setLimits]);

/** One accepted change: it leads from `generation - 1` to `generation`. */
export const changeSchema = zod.strictObject({
  /** Chosen by the operator's tool, which uses it to recognise its own change. */
  id: zod.string(),
  generation: zod.number().int().positive(),
  edits: zod.array(editSchema),
  /** Author of the change. */
  by: zod.string(),
  /** Time of the change in milliseconds since 1970, by the operator's clock. */
  atMs: zod.number(),
  why: zod.string(),
});

export type Edit = zod.infer<typeof editSchema>;
export type Change = zod.infer<typeof changeSchema>;
type Configuration = schema.Configuration;

/** The edits that turn one configuration into another. */
export function diff(from: Configuration, to: Configuration): readonly Edit[] {
  const edits = schema.LIST_NAMES.flatMap((list) => diffList(list, from[list], to[list]));
  if (util.isDeepStrictEqual(from.limits, to.limits)) return edits;
  return [...edits, { kind: 'set-limits', limits: to.limits }];
}

type Named = { name: string };

function diffList(
  list: schema.ListName,
  from: readonly Named[],
  to: readonly Named[],
): readonly Edit[] {
  const before = new Map(from.map((entry) => [entry.name, entry]));
  const after = new Set(to.map(({ name }) => name));
  const removed = from
    .filter(({ name }) => !after.has(name))
    .map(({ name }): Edit => ({ kind: 'remove', list, name }));
  const changed = to
    .filter((entry) => !util.isDeepStrictEqual(before.get(entry.name), entry))
    .map((entry) => ({ kind: 'put', list, entry }) as Edit);
  return [...removed, ...changed];
}

/** Applies validated changes. Fails if they leave a gap in the generations or break a reference. */
export function applyChanges(
  to: Configuration,
  changes: readonly Change[],
): neverthrow.Result<Configuration, results.Failure> {
  const changed = changes.reduce(applyOne, to);
  const expected = to.generation + changes.length;
  if (changed.generation === expected) return validation.validateReferences(changed);
  const detail = `changes: expected generation ${expected}; found ${changed.generation}`;
  return neverthrow.err(results.failure('invalidInput', detail));
}

function applyOne(to: Configuration, { generation, edits }: Change): Configuration {
  return edits.reduce(applyEdit, { ...to, generation });
}

function applyEdit(to: Configuration, edit: Edit): Configuration {
  switch (edit.kind) {
    case 'put':
      return { ...to, [edit.list]: putEntry(to[edit.list], edit.entry) };
    case 'remove':
      return { ...to, [edit.list]: without(to[edit.list], edit.name) };
    case 'set-limits':
      return { ...to, limits: edit.limits };
    default:
      return results.assertNever(edit);
  }
}

function putEntry(entries: readonly Named[], entry: Named): readonly Named[] {
  const at = entries.findIndex(({ name }) => name === entry.name);
  if (at === -1) return [...entries, entry];
  return entries.map((each, i) => (i === at ? entry : each));
}

function without(entries: readonly Named[], name: string): readonly Named[] {
  return entries.filter((each) => each.name !== name);
}

/** The changes after a generation in order, or `undefined` if one of them is missing. */
export function changesAfter(
  changes: readonly Change[],
  generation: number,
): readonly Change[] | undefined {
  const later = changes
    .filter((each) => each.generation > generation)
    .sort((a, b) => a.generation - b.generation);
  const isComplete = later.every((each, at) => each.generation === generation + 1 + at);
  return isComplete ? later : undefined;
}

/** One line for operators, without secrets. */
export function describeEdit(edit: Edit): string {
  switch (edit.kind) {
    case 'put':
      return `put ${edit.list}.${edit.entry.name}`;
    case 'remove':
      return `remove ${edit.list}.${edit.name}`;
    case 'set-limits':
      return 'set limits';
    default:
      return results.assertNever(edit);
  }
}
