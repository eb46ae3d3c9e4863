/** Caller side of the examples: streams completions and calls plain services over HTTP. */
import * as undici from 'undici';

import * as deployments from './deployment.js';

export type Completion = { status: number; requestId: string; text: string; isComplete: boolean };

/** Requests one completion as a stream and reads it to the end. */
export async function streamCompletion(
  address: string,
  account: string,
  body: { model: string; prompt: string; max_tokens: number },
): Promise<Completion> {
  const response = await undici.request(`http://${address}/v1/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${deployments.credentialOf(account)}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({ ...body, stream: true }),
  });
  const text = await response.body.text();
  const data = text
    .split('\n')
    .filter((line) => line.startsWith('data: '))
    .map((line) => line.slice('data: '.length));
  const endsWithDone = data.at(-1) === '[DONE]';
  const tokens = data.slice(0, endsWithDone ? -1 : undefined).map(choiceText);
  return {
    status: response.statusCode,
    requestId: String(response.headers['x-request-id'] ?? ''),
    text: tokens.join(''),
    isComplete: endsWithDone,
  };
}

function choiceText(data: string): string {
  const parsed = JSON.parse(data) as { choices?: readonly { text: string }[] };
  return parsed.choices?.[0]?.text ?? '';
}

export type ServiceResponse = { status: number; text: string; isReplay: boolean };

export async function callService(
  address: string,
  account: string,
  path: string,
  key: string,
  body: unknown,
): Promise<ServiceResponse> {
  const response = await undici.request(`http://${address}/services/${path}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${deployments.credentialOf(account)}`,
      'content-type': 'application/json',
      'idempotency-key': key,
    },
    body: JSON.stringify(body),
  });
  return {
    status: response.statusCode,
    text: await response.body.text(),
    isReplay: response.headers['idempotency-replayed'] === 'true',
  };
}
