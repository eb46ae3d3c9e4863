/** The HTTP server: reads requests up to the body limit and passes them to its handlers. */
import * as http from 'node:http';
import type * as net from 'node:net';

import * as core from '@medlarweir/core';
import * as httpFields from '@medlarweir/http-fields';

import type * as decode from './decode.js';
import * as encode from './encode.js';

/** Timeout for receiving a whole request from a caller. */
const REQUEST_TIMEOUT_MS = 60_000;
const HEADERS_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_MS = 30_000;

export type IncomingRequest = {
  response: http.ServerResponse;
  readResult:
    | { kind: 'whole'; request: decode.RawRequest }
    | { kind: 'too-large'; limitBytes: number }
    | { kind: 'malformed'; detail: string };
};

export type Handlers = {
  /** Called for each request, since the configuration may change the limit. */
  maxBodyBytes(): number;
  onRequest(incoming: IncomingRequest): void;
  onListening(address: string): void;
  onConnectionRefused(refused: RefusedConnection): void;
};

export type RefusedConnection = {
  /** Of the HTTP parser, or of the socket. */
  reason: string;
  /** 0 if the connection was closed without an answer. */
  status: number;
  /** Bytes that had been read from it. */
  readBytes: number;
};

export function listen(address: string, handlers: Handlers): http.Server {
  const { host, port } = core.settings.address.split(address);
  // Node answers a missing host itself, without a code; the check of the head covers it.
  const server = http.createServer({ requireHostHeader: false }, (request, response) => {
    void readRequest(request, response, handlers.maxBodyBytes()).then((incoming) => {
      if (incoming) handlers.onRequest(incoming);
    });
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    const status = rejectMalformed(socket as net.Socket);
    const { bytesRead: readBytes } = socket as net.Socket;
    handlers.onConnectionRefused({ reason: error.code ?? '', status, readBytes });
  });
  server.requestTimeout = REQUEST_TIMEOUT_MS;
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.keepAliveTimeout = KEEP_ALIVE_MS;
  server.listen(port, host, () => {
    const bound = server.address() as net.AddressInfo;
    handlers.onListening(`${bound.address}:${bound.port}`);
  });
  return server;
}

/**
 * Responds to input that is not valid HTTP with a numbered error and closes the connection. Returns the
 * status, 0 if there was no answer.
 */
function rejectMalformed(socket: net.Socket): number {
  if (!socket.writable) {
    socket.destroy();
    return 0;
  }
  const body = encode.malformedBody();
  const head = [
    'HTTP/1.1 400 Bad Request',
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
  return 400;
}

/** Returns `undefined` if the caller disconnected before the request was complete. */
async function readRequest(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  limitBytes: number,
): Promise<IncomingRequest | undefined> {
  const { httpVersion, url: target = '/', rawHeaders } = request;
  const head = httpFields.check({ httpVersion, target, rawHeaders });
  if (head.isErr()) return { response, readResult: { kind: 'malformed', detail: head.error } };
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > limitBytes) return { response, readResult: { kind: 'too-large', limitBytes } };
      chunks.push(chunk);
    }
  } catch {
    return undefined;
  }
  const received: decode.RawRequest = {
    method: request.method ?? 'GET',
    path: target,
    headers: firstValues(request.headers),
    body: Buffer.concat(chunks),
  };
  return { response, readResult: { kind: 'whole', request: received } };
}

function firstValues(headers: http.IncomingHttpHeaders): Record<string, string> {
  const pairs = Object.entries(headers).flatMap(([name, value]) => {
    const first = Array.isArray(value) ? value[0] : value;
    return first === undefined ? [] : [[name, first] as const];
  });
  return Object.fromEntries(pairs);
}
