/** Reads newline-delimited HTTP responses and passes on each line as it arrives. */
import * as undici from 'undici';

/** The limit where a stream names none. */
export const MAX_LINE_CHARACTERS = 16_000_000;
const CONNECT_TIMEOUT_MS = 1_000;

export type RequestOptions = {
  url: string;
  method?: 'GET' | 'POST';
  body?: string;
  headers?: Record<string, string>;
  /** Ends the stream if no data arrives for this long; 0 disables the timeout. */
  idleTimeoutMs?: number;
  /** A longer line ends the stream with an error. */
  maxLineCharacters?: number;
  /** Receives the response status before the first line. */
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
  /** After a pause, at most the lines of the chunk that has already arrived are still passed on. */
  setFlow(flow: 'open' | 'paused'): void;
};

/** Opens a stream on its own connection, so that no other stream can block it. */
export function open(options: RequestOptions): Stream {
  const abort = new AbortController();
  const dispatcher = new undici.Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    bodyTimeout: options.idleTimeoutMs ?? 0,
    headersTimeout: options.idleTimeoutMs ?? 0,
  });
  const flowControl = createFlowControl();
  void readStream(options, dispatcher, abort.signal, flowControl).then((end) => {
    void dispatcher.destroy();
    if (!abort.signal.aborted) options.onEnd(end);
  });
  return {
    close() {
      flowControl.setFlow('open');
      abort.abort();
    },
    setFlow: flowControl.setFlow,
  };
}

async function readStream(
  options: RequestOptions,
  dispatcher: undici.Dispatcher,
  signal: AbortSignal,
  flowControl: FlowControl,
): Promise<End> {
  let hasStatus = false;
  try {
    const response = await undici.request(options.url, {
      method: options.method ?? 'GET',
      dispatcher,
      signal,
      headers: { 'content-type': 'application/json', ...options.headers },
      ...(options.body === undefined ? {} : { body: options.body }),
    });
    hasStatus = true;
    options.onStatus?.(response.statusCode);
    await readLines(response.body, options, flowControl);
    return { kind: 'finished' };
  } catch (error) {
    const detail = String(error);
    return isConnectFailure(error)
      ? { kind: 'not-connected', detail }
      : { kind: 'broken', detail, hasStatus };
  }
}

const CONNECT_FAILURES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'];

/** True only if no connection was established, so that no byte can have been sent. */
export function isConnectFailure(error: unknown): boolean {
  const { code } = error as { code?: unknown };
  return typeof code === 'string' && CONNECT_FAILURES.includes(code);
}

/** Lets the reader of a stream continue while the flow is open, and blocks it while paused. */
type FlowControl = { setFlow(flow: 'open' | 'paused'): void; waitUntilOpen(): Promise<void> };

function createFlowControl(): FlowControl {
  const state = { isOpen: true, waiting: [] as (() => void)[] };
  return {
    setFlow(flow) {
      state.isOpen = flow === 'open';
      if (state.isOpen) state.waiting.splice(0).forEach((resume) => resume());
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
  { onLine, maxLineCharacters = MAX_LINE_CHARACTERS }: RequestOptions,
  flowControl: FlowControl,
): Promise<void> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of body) {
    const parts = (rest + decoder.decode(chunk, { stream: true })).split('\n');
    rest = parts.pop() ?? '';
    if (rest.length > maxLineCharacters) throw new Error('line too long');
    parts.filter((line) => line !== '').forEach(onLine);
    await flowControl.waitUntilOpen();
  }
}
