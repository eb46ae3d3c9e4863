/** A stream of lines over HTTP: each line is handed on as it arrives. */
import * as undici from 'undici';

/** A longer line breaks the stream off: its sender is not to be trusted. */
export const MAX_LINE_CHARACTERS = 16_000_000;
const CONNECT_TIMEOUT_MS = 1_000;

export type RequestOptions = {
  url: string;
  method?: 'GET' | 'POST';
  body?: string;
  headers?: Record<string, string>;
  /** Ends the stream if nothing arrives for this long; 0 waits for ever. */
  idleTimeoutMs?: number;
  /** The answer's status, before its first line. */
  onStatus?(status: number): void;
  onLine(line: string): void;
  onEnd(end: End): void;
};

/** How a stream ended. */
export type End =
  | { kind: 'finished' }
  | { kind: 'not-connected'; detail: string }
  | { kind: 'broken'; detail: string; hasStatus: boolean };

export type Stream = {
  close(): void;
  /** While paused, at most the chunk that has arrived is still handed on. */
  setFlow(flow: 'open' | 'paused'): void;
};

/** Opens one stream on a connection of its own, so that no other stream can hold it up. */
export function open(order: RequestOptions): Stream {
  const abort = new AbortController();
  const dispatcher = new undici.Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    bodyTimeout: order.idleTimeoutMs ?? 0,
    headersTimeout: order.idleTimeoutMs ?? 0,
  });
  const gate = createFlowControl();
  void readStream(order, dispatcher, abort.signal, gate).then((end) => {
    void dispatcher.destroy();
    if (!abort.signal.aborted) order.onEnd(end);
  });
  return {
    close() {
      gate.setFlow('open');
      abort.abort();
    },
    setFlow: gate.setFlow,
  };
}

async function readStream(
  order: RequestOptions,
  dispatcher: undici.Dispatcher,
  signal: AbortSignal,
  gate: FlowControl,
): Promise<End> {
  let hasStatus = false;
  try {
    const response = await undici.request(order.url, {
      method: order.method ?? 'GET',
      dispatcher,
      signal,
      headers: { 'content-type': 'application/json', ...order.headers },
      ...(order.body === undefined ? {} : { body: order.body }),
    });
    hasStatus = true;
    order.onStatus?.(response.statusCode);
    await readLines(response.body, order.onLine, gate);
    return { kind: 'finished' };
  } catch (error) {
    const detail = String(error);
    return isConnectFailure(error)
      ? { kind: 'not-connected', detail }
      : { kind: 'broken', detail, hasStatus };
  }
}

const CONNECT_FAILURES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'];

/** True only where no connection was made, so that no byte can have been sent. */
export function isConnectFailure(error: unknown): boolean {
  const { code } = error as { code?: unknown };
  return typeof code === 'string' && CONNECT_FAILURES.includes(code);
}

/** Lets the reader of a stream through while it is open. */
type FlowControl = { setFlow(flow: 'open' | 'paused'): void; waitUntilOpen(): Promise<void> };

function createFlowControl(): FlowControl {
  const state = { isOpen: true, waiting: [] as (() => void)[] };
  return {
    setFlow(flow) {
      state.isOpen = flow === 'open';
      if (state.isOpen) state.waiting.splice(0).forEach((go) => go());
    },
    waitUntilOpen: () =>
      new Promise((resolve) => {
        if (state.isOpen) resolve();
        else state.waiting.push(resolve);
      }),
  };
}

async function readLines(
  body: AsyncIterable<Uint8Array>,
  onLine: (line: string) => void,
  gate: FlowControl,
): Promise<void> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of body) {
    const parts = (rest + decoder.decode(chunk, { stream: true })).split('\n');
    rest = parts.pop() ?? '';
    if (rest.length > MAX_LINE_CHARACTERS) throw new Error('line too long');
    parts.filter((line) => line !== '').forEach(onLine);
    await gate.waitUntilOpen();
  }
}
