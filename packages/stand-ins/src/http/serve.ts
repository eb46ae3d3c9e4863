/** A small HTTP server for JSON and line streams, shared by the stand-ins. */
import * as http from 'node:http';
import type * as net from 'node:net';

export type Request = {
  method: string;
  /** Percent-decoded path segments. */
  path: readonly string[];
  query: URLSearchParams;
  headers: http.IncomingHttpHeaders;
  body: Buffer;
};

export type Reply =
  | { kind: 'json'; status: number; body: unknown; headers?: Record<string, string> }
  | { kind: 'bytes'; status: number; headers: Record<string, string>; body: Uint8Array }
  /** A stream of JSON lines, written until it is closed. */
  | { kind: 'lines'; onOpen(lines: LineStream): void }
  /** Closes the connection without a response. */
  | { kind: 'cut' }
  /** Never responds; the connection stays open. */
  | { kind: 'silent' };

export type LineStream = {
  write(value: unknown): void;
  end(): void;
  cut(): void;
  onClose(callback: () => void): void;
};

export type Handler = (request: Request) => Promise<Reply> | Reply;

export type Server = { address: string; close(): Promise<void> };

export function json(status: number, body: unknown): Reply {
  return { kind: 'json', status, body };
}

/** Listens on 127.0.0.1; port 0 lets the operating system choose a free port. */
export function listen(handler: Handler, port = 0): Promise<Server> {
  const server = http.createServer((request, response) => {
    void handleRequest(handler, request, response);
  });
  return new Promise((resolve) => {
    server.listen(port, '127.0.0.1', () => {
      const bound = server.address() as net.AddressInfo;
      const address = `127.0.0.1:${bound.port}`;
      const close = () =>
        new Promise<void>((closed) => {
          server.close(() => closed());
          server.closeAllConnections();
        });
      resolve({ address, close });
    });
  });
}

async function handleRequest(
  handler: Handler,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): Promise<void> {
  response.on('error', () => undefined);
  try {
    const url = new URL(request.url ?? '/', 'http://stand-in');
    const reply = await handler({
      method: request.method ?? 'GET',
      path: url.pathname.split('/').slice(1).map(decodeURIComponent),
      query: url.searchParams,
      headers: request.headers,
      body: await readBody(request),
    });
    write(reply, response);
  } catch (error) {
    if (response.headersSent) response.destroy();
    else response.writeHead(400).end(String(error));
  }
}

async function readBody(request: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks);
}

function write(reply: Reply, response: http.ServerResponse): void {
  switch (reply.kind) {
    case 'json':
      response.writeHead(reply.status, { 'content-type': 'application/json', ...reply.headers });
      response.end(JSON.stringify(reply.body));
      return;
    case 'bytes':
      response.writeHead(reply.status, reply.headers);
      response.end(reply.body);
      return;
    case 'lines':
      response.writeHead(200, { 'content-type': 'application/x-ndjson' });
      response.flushHeaders();
      reply.onOpen(toLineStream(response));
      return;
    case 'cut':
      response.destroy();
      return;
    case 'silent':
      return;
    default:
      throw new Error(`unexpected reply: ${JSON.stringify(reply satisfies never)}`);
  }
}

function toLineStream(response: http.ServerResponse): LineStream {
  return {
    write: (value) => {
      if (!response.destroyed) response.write(`${JSON.stringify(value)}\n`);
    },
    end: () => response.end(),
    cut: () => response.destroy(),
    onClose: (callback) => {
      response.on('close', callback);
    },
  };
}

/** Resolves after a delay on the runtime's clock. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
