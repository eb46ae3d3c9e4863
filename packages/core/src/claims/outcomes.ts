/** Encodes outcomes for storage on a page: plain JSON values, with answers of bounded size. */
import * as zod from 'zod';

import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';

/** Larger answers are not kept. The response to a retry then only says that the request ran. */
export const MAX_KEPT_ANSWER_BYTES = 16_384;

const answered = zod.object({
  kind: zod.literal('answered'),
  status: zod.number(),
  headers: zod.record(zod.string(), zod.string()),
  bodyBase64: zod.string(),
});
const notKept = zod.object({ kind: zod.literal('answer-not-kept'), status: zod.number() });
/** `holder`: reported by the attempt's holder; `lapse`: nothing was recorded in time. */
const unknown = zod.object({ kind: zod.literal('unknown'), by: zod.enum(['holder', 'lapse']) });

/** Outcome of an attempt as reported by its holder. */
export const reportedSchema = zod.discriminatedUnion('kind', [
  answered,
  notKept,
  unknown,
  zod.object({ kind: zod.literal('not-run') }),
]);
/** Outcome of a claim as stored on a page. */
export const storedSchema = zod.discriminatedUnion('kind', [
  zod.object({ kind: zod.literal('claimed') }),
  answered,
  notKept,
  unknown,
]);

export type Reported = zod.infer<typeof reportedSchema>;
export type Stored = zod.infer<typeof storedSchema>;
export type StoredAnswer = zod.infer<typeof answered>;

export function encode(outcome: messages.RecordedOutcome): Reported {
  switch (outcome.kind) {
    case 'answered':
      return encodeAnswer(outcome.answer);
    case 'unknown':
      return { kind: 'unknown', by: 'holder' };
    case 'not-run':
      return outcome;
    default:
      return results.assertNever(outcome);
  }
}

function encodeAnswer({ status, headers, body }: messages.PlainResponse): Reported {
  const bytes = body.length + JSON.stringify(headers).length;
  if (bytes > MAX_KEPT_ANSWER_BYTES) return { kind: 'answer-not-kept', status };
  const bodyBase64 = Buffer.from(body).toString('base64');
  return { kind: 'answered', status, headers: { ...headers }, bodyBase64 };
}

export function decodeAnswer({
  status,
  headers,
  bodyBase64,
}: StoredAnswer): messages.PlainResponse {
  return { status, headers, body: Buffer.from(bodyBase64, 'base64') };
}
