/** The HTTP server: reads requests up to the body limit and passes them to its handlers. */
import * as http from 'node:http';
import type * as net from 'node:net';

import * as callerConnections from '@medlarweir/caller-connections';
import * as httpFields from '@medlarweir/http-fields';

import type * as decode from './decode.js';
import * as encode from './encode.js';

const LIMITS: callerConnections.Limits = { headMs: 10_000, bodyMs: 60_000, idleMs: 30_000 };

export type IncomingRequest = {
  response: http.ServerResponse;
  turn: callerConnections.Turn;
  readResult:
    | { kind: 'whole'; request: decode.RawRequest }
    | { kind: 'too-large'; limitBytes: number }
    | { kind: 'malformed'; detail: string };
};

export type Handlers = {
  /** Called for each request, since the configuration may change the limit. */
  maxBodyBytes(): number;
  onRequest(incoming: IncomingRequest): void;
  /** Opens the address for callers. */
  listen(server: http.Server): void;
  onListening(address: string): void;
  /** A connection ended without a request, or for what followed one. */
  onConnectionEnded(ended: callerConnections.Ended): void;
};

export function start(handlers: Handlers): callerConnections.Connections {
  // Node answers a missing host itself, without a code; the check of the head covers it.
  const server = http.createServer({ requireHostHeader: false }, (request, response) => {
    const turn = connections.begin(request, response);
    if (!turn) return;
    void readRequest(request, handlers.maxBodyBytes()).then((readResult) => {
      if (readResult) turn.whenFirst(() => handlers.onRequest({ response, turn, readResult }));
    });
  });
  const connections = callerConnections.watch(server, {
    limits: () => LIMITS,
    errorBody: { contentType: 'application/json', text: encode.malformedBody() },
    onEnded: handlers.onConnectionEnded,
  });
  // Told to callers; `connections` keeps to it.
  server.keepAliveTimeout = LIMITS.idleMs;
  server.on('listening', () => {
    const bound = server.address() as net.AddressInfo;
    handlers.onListening(`${bound.address}:${bound.port}`);
  });
  handlers.listen(server);
  return connections;
}

/** Returns `undefined` if the caller disconnected before the request was complete. */
async function readRequest(
  request: http.IncomingMessage,
  limitBytes: number,
): Promise<IncomingRequest['readResult'] | undefined> {
  const { httpVersion, url: target = '/', rawHeaders } = request;
  const head = httpFields.check({ httpVersion, target, rawHeaders });
  if (head.isErr()) return { kind: 'malformed', detail: head.error };
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      length += chunk.length;
      if (length > limitBytes) return { kind: 'too-large', limitBytes };
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
  return { kind: 'whole', request: received };
}

function firstValues(headers: http.IncomingHttpHeaders): Record<string, string> {
  const pairs = Object.entries(headers).flatMap(([name, value]) => {
    const first = Array.isArray(value) ? value[0] : value;
    return first === undefined ? [] : [[name, first] as const];
  });
  return Object.fromEntries(pairs);
}
