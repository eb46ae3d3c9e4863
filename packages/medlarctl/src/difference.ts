/**
 * Compares two configurations by the names of their entries. A changed secret is reported by the name
 * of its field; its value is never shown.
 */
import * as util from 'node:util';

import * as core from '@medlarweir/core';

type Configuration = core.configuration.Configuration;
type Named = { name: string };

export type Collection = 'dataCentres' | 'clientAccounts' | 'services' | 'upstreams' | 'stores';

/** A field with its values before and after; the values of a secret are omitted. */
export type FieldChange =
  | { kind: 'plain'; field: string; before: unknown; after: unknown }
  | { kind: 'secret'; field: string };

export type EntryChange =
  | { kind: 'added'; collection: Collection; name: string }
  | { kind: 'removed'; collection: Collection; name: string }
  | { kind: 'changed'; collection: Collection; name: string; fields: readonly FieldChange[] }
  | { kind: 'limits'; fields: readonly FieldChange[] };

const COLLECTIONS: readonly Collection[] = [
  'dataCentres',
  'clientAccounts',
  'services',
  'upstreams',
  'stores',
];
const SECRET_FIELDS: readonly string[] = ['credentialDigest', 'contextSecret'];

/** Reports every entry of `after` as added if there is no active configuration. */
export function compare(
  before: Configuration | undefined,
  after: Configuration,
): readonly EntryChange[] {
  const entries = COLLECTIONS.flatMap((collection) =>
    compareCollection(collection, before?.[collection] ?? [], after[collection]),
  );
  const limits = before ? compareFields(before.limits, after.limits) : [];
  return limits.length === 0 ? entries : [...entries, { kind: 'limits', fields: limits }];
}

function compareCollection(
  collection: Collection,
  before: readonly Named[],
  after: readonly Named[],
): readonly EntryChange[] {
  const earlier = new Map(before.map((each) => [each.name, each]));
  const later = new Set(after.map(({ name }) => name));
  const kept = after.flatMap((each): readonly EntryChange[] => {
    const { name } = each;
    const known = earlier.get(name);
    if (!known) return [{ kind: 'added', collection, name }];
    const fields = compareFields(known, each);
    return fields.length === 0 ? [] : [{ kind: 'changed', collection, name, fields }];
  });
  const gone = before.filter(({ name }) => !later.has(name));
  return [...kept, ...gone.map(({ name }): EntryChange => ({ kind: 'removed', collection, name }))];
}

function compareFields(before: object, after: object): readonly FieldChange[] {
  const earlier = before as Readonly<Record<string, unknown>>;
  const later = after as Readonly<Record<string, unknown>>;
  const fields = [...new Set([...Object.keys(earlier), ...Object.keys(later)])];
  return fields
    .filter((field) => !util.isDeepStrictEqual(earlier[field], later[field]))
    .map((field) =>
      SECRET_FIELDS.includes(field)
        ? { kind: 'secret', field }
        : { kind: 'plain', field, before: earlier[field], after: later[field] },
    );
}

/** Renders one line of text for each change. */
export function describe(changes: readonly EntryChange[]): readonly string[] {
  return changes.length === 0 ? ['nothing changes'] : changes.map(describeChange);
}

function describeChange(change: EntryChange): string {
  switch (change.kind) {
    case 'added':
      return `+ ${change.collection} ${change.name}`;
    case 'removed':
      return `- ${change.collection} ${change.name}`;
    case 'changed':
      return `~ ${change.collection} ${change.name}: ${describeFields(change.fields)}`;
    case 'limits':
      return `~ limits: ${describeFields(change.fields)}`;
    default:
      return core.results.assertNever(change);
  }
}

function describeFields(fields: readonly FieldChange[]): string {
  return fields.map(describeField).join(', ');
}

function describeField(change: FieldChange): string {
  switch (change.kind) {
    case 'plain':
      return `${change.field} ${show(change.before)} -> ${show(change.after)}`;
    case 'secret':
      return `${change.field} changed`;
    default:
      return core.results.assertNever(change);
  }
}

function show(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}
