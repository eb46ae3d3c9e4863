/** Messages between the claims tasks of different instances: operations on pages, and results. */
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';

import * as results from '../results/index.js';
import * as page from './page.js';

const placeSchema = zod.object({ page: zod.string(), name: zod.string(), bucket: zod.number() });
const requestSchema = zod.object({
  place: placeSchema,
  operation: page.operationSchema,
});
const resultSchema = zod.union([
  page.operationResultSchema,
  /** The coordinator could not write and has dropped the operation. */
  zod.object({ kind: zod.literal('unavailable') }),
]);
const replySchema = zod.object({
  operation: zod.enum(['claim', 'record']),
  attemptId: zod.string(),
  place: placeSchema,
  result: resultSchema,
});
const messageSchema = zod.discriminatedUnion('kind', [
  /** Asks the coordinator of the page to include the operation in its next write. */
  zod.object({ kind: zod.literal('ask'), asked: requestSchema }),
  zod.object({ kind: zod.literal('tell'), told: zod.array(replySchema) }),
]);

export type Message = zod.infer<typeof messageSchema>;
export type Reply = zod.infer<typeof replySchema>;
export type Result = zod.infer<typeof resultSchema>;

export function parse(found: unknown): neverthrow.Result<Message, results.Failure> {
  const checked = messageSchema.safeParse(found);
  if (checked.success) return neverthrow.ok(checked.data);
  return neverthrow.err(results.failure('malformedRequest', checked.error.message));
}
