/** Decodes callers' requests; each invalid request yields a failure with a numbered code. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';
import * as zod from 'zod';

/** A request as received; its body is at most as long as the configured limit. */
export type RawRequest = {
  method: string;
  /** Path and query. */
  path: string;
  headers: Readonly<Record<string, string>>;
  body: Uint8Array;
};

/** A decoded request whose service has not been looked up yet. */
export type DecodedRequest =
  | {
      kind: 'prompt';
      service: string;
      prompt: string;
      maxTokens: number;
      isStream: boolean;
      offset: number;
    }
  | {
      kind: 'plain';
      service: string;
      method: string;
      path: string;
      headers: Readonly<Record<string, string>>;
      body: Uint8Array;
      idempotencyKey: string | undefined;
    };

type DecodeResult<Value> = neverthrow.Result<Value, core.results.Failure>;

const MAX_TOKENS = 32_768;
const DEFAULT_MAX_TOKENS = 256;
const MAX_KEY_CHARACTERS = 255;

const completionSchema = zod.object({
  model: zod.string().min(1),
  prompt: zod.string(),
  max_tokens: zod.number().int().min(1).max(MAX_TOKENS).default(DEFAULT_MAX_TOKENS),
  stream: zod.boolean().default(false),
});

/** Returns the credential of `Authorization: Bearer`, or an `unauthorized` failure. */
export function parseCredential(headers: RawRequest['headers']): DecodeResult<string> {
  const [scheme, credential] = (headers.authorization ?? '').split(' ');
  if (scheme?.toLowerCase() === 'bearer' && credential) return neverthrow.ok(credential);
  return fail('unauthorized', 'expected `Authorization: Bearer CREDENTIAL`');
}

export function decode(received: RawRequest): DecodeResult<DecodedRequest> {
  const [path = ''] = received.path.split('?');
  if (path === '/v1/completions') return decodeCompletion(received);
  if (path.startsWith('/services/')) return decodePlain(received);
  return fail('unknownService', `no such path: ${path.slice(0, MAX_KEY_CHARACTERS)}`);
}

function decodeCompletion(received: RawRequest): DecodeResult<DecodedRequest> {
  if (received.method !== 'POST') {
    return fail('malformedRequest', `method: expected POST; found ${received.method}`);
  }
  const json = parseJson(Buffer.from(received.body).toString('utf8'));
  if (json.isErr()) return fail('malformedRequest', 'body: expected JSON');
  const checked = completionSchema.safeParse(json.value);
  if (!checked.success) return fail('malformedRequest', explain(checked.error));
  const { model, prompt, max_tokens: maxTokens, stream } = checked.data;
  const offset = parseResumeOffset(received.headers['last-event-id'], maxTokens);
  if (offset.isErr()) return neverthrow.err(offset.error);
  return neverthrow.ok({
    kind: 'prompt',
    service: model,
    prompt,
    maxTokens,
    isStream: stream,
    offset: offset.value,
  });
}

const EVENT_ID = /^[\w.-]{1,100}:(\d{1,6})$/;

/**
 * Returns the number of tokens that the caller has already received on an earlier connection, to
 * any instance.
 */
function parseResumeOffset(
  lastEventId: string | undefined,
  maxTokens: number,
): DecodeResult<number> {
  if (lastEventId === undefined) return neverthrow.ok(0);
  const offset = Number(EVENT_ID.exec(lastEventId)?.[1] ?? Number.NaN);
  if (offset <= maxTokens) return neverthrow.ok(offset);
  return fail('malformedRequest', 'Last-Event-ID: expected REQUEST:TOKENS up to `max_tokens`');
}

const parseJson = neverthrow.Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  () => 'not JSON' as const,
);

function explain(error: zod.ZodError): string {
  return error.issues
    .map((issue) => `${issue.path.map(String).join('.') || 'body'}: ${issue.message}`)
    .join('; ');
}

/** Request headers that are forwarded to plain services. */
const FORWARDED_REQUEST_HEADERS = ['content-type', 'accept', 'accept-language', 'if-none-match'];

function decodePlain(received: RawRequest): DecodeResult<DecodedRequest> {
  const [, , service = '', ...rest] = received.path.split('/');
  if (service === '') return fail('unknownService', 'expected /services/SERVICE/PATH');
  const idempotencyKey = received.headers['idempotency-key'];
  const isKeyTooLong = (idempotencyKey?.length ?? 0) > MAX_KEY_CHARACTERS;
  if (idempotencyKey === '' || isKeyTooLong) {
    const expected = `expected 1 to ${MAX_KEY_CHARACTERS} characters`;
    return fail('malformedRequest', `Idempotency-Key: ${expected}`);
  }
  const forwarded = FORWARDED_REQUEST_HEADERS.flatMap((name) => {
    const value = received.headers[name];
    return value === undefined ? [] : [[name, value] as const];
  });
  return neverthrow.ok({
    kind: 'plain',
    service,
    method: received.method,
    path: `/${rest.join('/')}`,
    headers: Object.fromEntries(forwarded),
    body: received.body,
    idempotencyKey,
  });
}

function fail(code: core.results.CodeName, detail: string) {
  return neverthrow.err(core.results.failure(code, detail));
}
