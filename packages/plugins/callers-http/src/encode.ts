/** Encodes responses: OpenAI-style completion objects, server-sent events, and JSON errors. */
import * as core from '@medlarweir/core';

type Ended = Extract<core.messages.CallerResponse, { type: 'response.ended' }>;
type Token = Extract<core.messages.CallerResponse, { type: 'response.token' }>;
type Refused = Extract<core.messages.CallerResponse, { type: 'response.refused' }>;

/** One token as a server-sent event, whose id lets the caller resume after this token. */
export function tokenEvent(token: Token, model: string): string {
  const choice = { index: 0, text: token.text, finish_reason: null };
  return event(`${token.requestId}:${token.offset + 1}`, chunk(token.requestId, model, [choice]));
}

export function endEvents(ended: Ended, model: string): string {
  const choice = { index: 0, text: '', finish_reason: ended.finish };
  const last = { ...chunk(ended.requestId, model, [choice]), usage: usageOf(ended) };
  return `data: ${JSON.stringify(last)}\n\ndata: [DONE]\n\n`;
}

/** The event for a failure after the stream has started. */
export function errorEvent(refused: Refused): string {
  return `event: error\ndata: ${JSON.stringify(errorBody(refused))}\n\n`;
}

function event(id: string, data: unknown): string {
  return `id: ${id}\ndata: ${JSON.stringify(data)}\n\n`;
}

function chunk(id: string, model: string, choices: readonly unknown[]) {
  return { id, object: 'text_completion', model, choices };
}

/** The whole response in one object, for callers that do not stream. */
export function completionBody(ended: Ended, model: string, text: string): string {
  const choice = { index: 0, text, finish_reason: ended.finish };
  const whole = { ...chunk(ended.requestId, model, [choice]), usage: usageOf(ended) };
  return JSON.stringify(whole);
}

function usageOf({ usage }: Ended) {
  return {
    prompt_tokens: usage.promptTokens,
    completion_tokens: usage.completionTokens,
    total_tokens: usage.promptTokens + usage.completionTokens,
    prompt_tokens_details: { cached_tokens: usage.cachedTokens },
  };
}

export function errorBody({ failure, truth, requestId }: Refused) {
  const code = core.results.resultCodes[failure.code];
  return {
    error: {
      code: code.number,
      name: failure.code,
      message: `${code.title}: ${failure.detail}`,
      hint: code.hint,
      run: truth,
      request_id: requestId,
    },
  };
}

const OVERLOADED_RETRY_MS = 1_000;

/** The refusal of a request that was not read to its end, and therefore has no request id. */
export function overloaded(): { status: number; headers: Record<string, string>; body: string } {
  const failure = core.results.failure('overloaded', 'the memory for requests is used up');
  const refused: Refused = {
    type: 'response.refused',
    requestId: '',
    failure,
    truth: 'not-run',
    retryAfterMs: OVERLOADED_RETRY_MS,
  };
  const headers = { 'content-type': 'application/json', ...refusalHeaders(refused) };
  return { status: refusalStatus(refused), headers, body: JSON.stringify(errorBody(refused)) };
}

/** The error body for input that is not valid HTTP and therefore has no request id. */
export function malformedBody(): string {
  const failure = core.results.failure('malformedRequest', 'expected an HTTP/1.1 request');
  const refused: Refused = {
    type: 'response.refused',
    requestId: '',
    failure,
    truth: 'not-run',
    retryAfterMs: undefined,
  };
  return JSON.stringify(errorBody(refused));
}

/** `Retry-After` is in whole seconds, rounded up. */
export function refusalHeaders({ retryAfterMs }: Refused): Record<string, string> {
  if (retryAfterMs === undefined) return {};
  return { 'retry-after': String(Math.ceil(retryAfterMs / 1_000)) };
}

export function refusalStatus({ failure }: Refused): number {
  return core.results.resultCodes[failure.code].status;
}
