/** The answers that a new team gives, as a file or at the terminal. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';

const name = zod
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'expected lower-case letters, digits, -');

const clientAccount = zod.strictObject({
  name,
  /** Generated and shown once if it is left out. */
  credential: zod.string().min(16).optional(),
  share: zod.number().positive().default(1),
});

const modelService = zod.strictObject({
  kind: zod.literal('model'),
  name,
  model: zod.string().min(1),
  adapter: zod.string().default(''),
  weightVersion: zod.string().min(1),
  priority: zod.enum(['short', 'normal', 'long']).default('normal'),
  /** What the team minds most. */
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
  address: zod.string(),
  dataCentre: name,
  services: zod.array(name).min(1),
  slots: zod.number().int().positive().optional(),
  coldSlots: zod.number().int().positive().optional(),
  prefillTokensPerS: zod.number().positive().optional(),
  checksFencing: zod.boolean(),
});

const store = zod.strictObject({
  name,
  address: zod.string(),
  dataCentre: name,
  memoryBytes: zod.number().int().positive(),
  diskBytes: zod.number().int().nonnegative(),
  linkBytesPerS: zod.number().positive(),
});

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

export function parse(found: unknown): neverthrow.Result<Answers, core.results.Failure> {
  const checked = answersSchema.safeParse(found);
  if (checked.success) return neverthrow.ok(checked.data);
  const lines = checked.error.issues.map(
    (issue) => `${issue.path.map(String).join('.') || '(whole)'}: ${issue.message}`,
  );
  return neverthrow.err(core.results.failure('invalidInput', lines.join('\n')));
}
