/** The two routes to the same engine: direct, and through an entry instance. */
import * as examples from '@medlarweir/examples';
import * as undici from 'undici';

export type RouteName = 'direct' | 'entry';
export type Prompt = { id: string; text: string; maxTokens: number };

/** Request format of a route, and the text that marks a token in its response. */
export type Route = {
  name: RouteName;
  url: string;
  headers: Readonly<Record<string, string>>;
  encode(prompt: Prompt): string;
  tokenMark: string;
};

export function direct(engine: string): Route {
  return {
    name: 'direct',
    url: `http://${engine}/v1/runs`,
    headers: {},
    encode: ({ id, text, maxTokens }) =>
      JSON.stringify({
        runId: id,
        model: 'briefing',
        adapter: '',
        weightVersion: 'v1',
        prompt: text,
        pieces: [],
        adopted: [],
        maxTokens,
        priority: 'normal',
        offset: 0,
        answered: '',
      }),
    tokenMark: '"kind":"token"',
  };
}

export function entry(callers: string, service: string, account: string): Route {
  return {
    name: 'entry',
    url: `http://${callers}/v1/completions`,
    headers: {
      authorization: `Bearer ${examples.deployments.credentialOf(account)}`,
      'content-type': 'application/json',
    },
    encode: ({ text, maxTokens }) =>
      JSON.stringify({ model: service, prompt: text, max_tokens: maxTokens, stream: true }),
    tokenMark: 'data: ',
  };
}

/** Timings of one response that was read to its end. */
export type Timing = { firstTokenMs: number; wholeMs: number };

export async function time(route: Route, prompt: Prompt): Promise<Timing> {
  const startedAtMs = performance.now();
  const response = await undici.request(route.url, {
    method: 'POST',
    headers: route.headers,
    body: route.encode(prompt),
  });
  if (response.statusCode !== 200) {
    throw new Error(`${route.name}: ${response.statusCode} ${await response.body.text()}`);
  }
  let firstTokenMs = 0;
  let text = '';
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    text += chunk.toString('utf8');
    if (firstTokenMs === 0 && text.includes(route.tokenMark)) {
      firstTokenMs = performance.now() - startedAtMs;
    }
  }
  const tokens = text.split(route.tokenMark).length - 1;
  if (tokens < prompt.maxTokens) throw new Error(`${route.name}: only ${tokens} tokens`);
  return { firstTokenMs, wholeMs: performance.now() - startedAtMs };
}
