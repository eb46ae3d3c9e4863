/** Validates the answers of a new team, which come from a file or from the terminal. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';

const name = zod
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits, -');

const address = zod.string().regex(/^[^\s:/]+:\d{1,5}$/, 'expected HOST:PORT');

const clientAccount = zod.strictObject({
  name,
  /** If omitted, a credential is generated and shown once. */
  credential: zod.string().min(16).optional(),
  share: zod.number().positive().default(1),
});

const modelService = zod.strictObject({
  kind: zod.literal('model'),
  name,
  model: name,
  adapter: zod.string().default(''),
  weightVersion: zod.string().min(1),
  priority: zod.enum(['short', 'normal', 'long']).default('normal'),
  /** Which cost routing weighs most: time to first token, recomputed tokens, or both equally. */
  weighs: zod.enum(['first-token', 'recompute', 'both']).default('both'),
});

const plainService = zod.strictObject({
  kind: zod.literal('plain'),
  name,
  priority: zod.enum(['short', 'normal', 'long']).default('normal'),
});

const upstream = zod.strictObject({
  name,
  kind: zod.enum(['engine', 'plain']),
  address,
  dataCentre: name,
  services: zod.array(name).min(1),
  slots: zod.number().int().positive().optional(),
  coldSlots: zod.number().int().positive().optional(),
  prefillTokensPerS: zod.number().positive().optional(),
  checksFencing: zod.boolean(),
});

const store = zod.strictObject({
  name,
  address,
  dataCentre: name,
  memoryBytes: zod.number().int().positive(),
  diskBytes: zod.number().int().nonnegative(),
  linkBytesPerS: zod.number().positive(),
});

/**
 * Schemas of the parts of the answers; the terminal checks each answer with the schema of its
 * field.
 */
export const schemas = { name, clientAccount, modelService, plainService, upstream, store };

export const answersSchema = zod.strictObject({
  team: name,
  region: name,
  dataCentres: zod.array(name).min(1),
  clientAccounts: zod.array(clientAccount).min(1),
  services: zod.array(zod.discriminatedUnion('kind', [modelService, plainService])).min(1),
  upstreams: zod.array(upstream).min(1),
  stores: zod.array(store),
  limits: zod
    .strictObject({
      maxBodyBytes: zod.number().int().positive().optional(),
      contextBytesPerToken: zod.number().positive().optional(),
    })
    .default({}),
});

export type Answers = zod.infer<typeof answersSchema>;

/**
 * A failure lists the path of each fault, the expected and the found value; a credential is not
 * shown.
 */
export function parse(found: unknown): neverthrow.Result<Answers, core.results.Failure> {
  const checked = answersSchema.safeParse(found);
  if (checked.success) return neverthrow.ok(checked.data);
  const lines = checked.error.issues.map((issue) => explain(issue, found));
  return neverthrow.err(core.results.failure('invalidInput', lines.join('\n')));
}

const MAX_SHOWN_CHARACTERS = 80;

function explain(issue: zod.core.$ZodIssue, found: unknown): string {
  const path = issue.path.map(String).join('.') || '(whole)';
  const value = issue.path.reduce<unknown>(fieldOf, found);
  const isPlain = typeof value !== 'object' && issue.path.at(-1) !== 'credential';
  const shown = isPlain ? (JSON.stringify(value) ?? 'nothing') : describeKind(value);
  return `${path}: ${issue.message}; found ${shown.slice(0, MAX_SHOWN_CHARACTERS)}`;
}

function fieldOf(value: unknown, key: PropertyKey): unknown {
  if (typeof value !== 'object' || value === null) return undefined;
  return Object.hasOwn(value, key) ? (value as Record<PropertyKey, unknown>)[key] : undefined;
}

/** Describes a value that may contain a secret by its type only. */
function describeKind(value: unknown): string {
  if (value === undefined) return 'nothing';
  if (Array.isArray(value)) return 'a list';
  return typeof value === 'object' ? 'an object' : 'another text';
}
