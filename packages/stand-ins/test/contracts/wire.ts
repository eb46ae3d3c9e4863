/** Client helpers of the contract tests: speak the published protocols directly, without an adapter. */
import * as readline from 'node:readline';

import * as undici from 'undici';

export type Reply = { status: number; body: unknown };
export type Line = Readonly<Record<string, unknown>>;

export async function call(
  address: string,
  method: 'GET' | 'POST' | 'PUT' | 'DELETE',
  path: string,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<Reply> {
  const raw = body instanceof Uint8Array ? body : JSON.stringify(body);
  const response = await undici.request(`http://${address}${path}`, {
    method,
    headers,
    ...(body === undefined ? {} : { body: raw }),
  });
  const text = await response.body.text();
  return { status: response.statusCode, body: parse(text) };
}

function parse(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/** Opens a stream of lines; `readUntil` resolves with all lines so far once one of them matches. */
export type LineReader = { readUntil(isLast: (line: Line) => boolean): Promise<readonly Line[]> };

export async function openStream(
  address: string,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
): Promise<LineReader> {
  const response = await undici.request(`http://${address}${path}`, {
    method,
    ...(body === undefined ? {} : { body: JSON.stringify(body) }),
  });
  const reader = readline.createInterface({ input: response.body });
  const lines: Line[] = [];
  const iterator = reader[Symbol.asyncIterator]();
  return {
    async readUntil(isLast) {
      for (let next = await iterator.next(); next.done !== true; next = await iterator.next()) {
        const line = JSON.parse(next.value) as Line;
        lines.push(line);
        if (isLast(line)) break;
      }
      return lines;
    },
  };
}

/** Reads a stream to its end and returns all lines. */
export async function readAll(...given: Parameters<typeof openStream>): Promise<readonly Line[]> {
  return (await openStream(...given)).readUntil(() => false);
}

export function textOf(lines: readonly Line[]): string {
  return lines.map(({ text = '' }) => text as string).join('');
}

export const isStarted = ({ kind }: Line) => kind === 'started';
