/**
 * Validates a configuration from an untrusted source: the schema first, then references by name.
 */
import * as neverthrow from 'neverthrow';
import type * as zod from 'zod';

import * as results from '../results/index.js';
import * as schema from './schema.js';

/** The failure gives, for each fault, the path, the expected value and the value found. */
export function validate(found: unknown): neverthrow.Result<schema.Configuration, results.Failure> {
  const checked = schema.configurationSchema.safeParse(found);
  if (!checked.success) {
    const lines = checked.error.issues.map((issue) => explainIssue(issue, found));
    return neverthrow.err(results.failure('invalidInput', lines.join('\n')));
  }
  return validateReferences(checked.data);
}

/** Validates only references and unique names, for a configuration with validated entries. */
export function validateReferences(
  given: schema.Configuration,
): neverthrow.Result<schema.Configuration, results.Failure> {
  const faults = findInvalidReferences(given);
  if (faults.length === 0) return neverthrow.ok(given);
  return neverthrow.err(results.failure('invalidInput', faults.join('\n')));
}

function explainIssue(issue: zod.core.$ZodIssue, found: unknown): string {
  const path = issue.path.map(String).join('.') || '(whole)';
  return `${path}: ${issue.message}; found ${show(valueAt(found, issue.path), issue.path)}`;
}

const MAX_SHOWN_CHARACTERS = 80;
/** Fields of a client account that are not secret. */
const PUBLIC_ACCOUNT_FIELDS: readonly string[] = ['name', 'share'];

/** Shows only scalar values, since an object or a list may contain a secret. */
function show(value: unknown, path: readonly PropertyKey[]): string {
  if (value === undefined) return 'nothing';
  if (Array.isArray(value)) return 'a list';
  if (typeof value === 'object' && value !== null) return 'an object';
  const isAccountField = path[0] === 'clientAccounts';
  if (isAccountField && !PUBLIC_ACCOUNT_FIELDS.includes(String(path.at(-1)))) return 'a secret';
  return JSON.stringify(value).slice(0, MAX_SHOWN_CHARACTERS);
}

function valueAt(found: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    found,
  );
}

function findInvalidReferences(given: schema.Configuration): readonly string[] {
  const dataCentres = new Set(given.dataCentres.map((each) => each.name));
  const services = new Set(given.services.map((each) => each.name));
  const placed = [
    ...given.upstreams.map((each, at) => [`upstreams.${at}`, each.dataCentre] as const),
    ...given.stores.map((each, at) => [`stores.${at}`, each.dataCentre] as const),
  ];
  const missingCentres = placed
    .filter(([, dataCentre]) => !dataCentres.has(dataCentre))
    .map(
      ([path, found]) => `${path}.dataCentre: expected a configured data centre; found "${found}"`,
    );
  const missingServices = given.upstreams.flatMap((each, at) =>
    each.services
      .filter((service) => !services.has(service))
      .map((found) => `upstreams.${at}.services: expected a configured service; found "${found}"`),
  );
  const kinds = ['dataCentres', 'clientAccounts', 'services', 'upstreams', 'stores'] as const;
  const duplicates = kinds.flatMap((kind) => findDuplicates(kind, given[kind]));
  return [...missingCentres, ...missingServices, ...duplicates];
}

function findDuplicates(kind: string, named: readonly { name: string }[]): readonly string[] {
  const seen = new Set<string>();
  return named.flatMap((each, at) => {
    if (seen.has(each.name)) {
      return [`${kind}.${at}.name: expected a new name; found "${each.name}"`];
    }
    seen.add(each.name);
    return [];
  });
}
