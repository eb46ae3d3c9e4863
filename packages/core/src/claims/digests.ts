/** What claims tasks of different instances tell each other: operations for a page, and results. */
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';

import * as results from '../results/index.js';
import * as page from './page.js';

const placeSchema = zod.object({ page: zod.string(), name: zod.string(), bucket: zod.number() });
const askedSchema = zod.object({
  place: placeSchema,
  operation: page.operationSchema,
});
const resultSchema = zod.union([
  page.appliedSchema,
  /** The gatherer could not write; it has forgotten the operation. */
  zod.object({ kind: zod.literal('unavailable') }),
]);
const toldSchema = zod.object({
  operation: zod.enum(['claim', 'record']),
  attemptId: zod.string(),
  place: placeSchema,
  result: resultSchema,
});
const digestSchema = zod.discriminatedUnion('kind', [
  /** Asks the instance that gathers for the page to put the operation into its next write. */
  zod.object({ kind: zod.literal('ask'), asked: askedSchema }),
  zod.object({ kind: zod.literal('tell'), told: zod.array(toldSchema) }),
]);

export type Digest = zod.infer<typeof digestSchema>;
export type Told = zod.infer<typeof toldSchema>;
export type Result = zod.infer<typeof resultSchema>;

export function parseDigest(found: unknown): neverthrow.Result<Digest, results.Failure> {
  const checked = digestSchema.safeParse(found);
  if (checked.success) return neverthrow.ok(checked.data);
  return neverthrow.err(results.failure('malformedRequest', checked.error.message));
}
