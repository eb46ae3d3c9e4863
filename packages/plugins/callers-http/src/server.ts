/** The HTTP server: reads requests up to the body limit and passes them to its handlers. */
import * as http from 'node:http';
import type * as net from 'node:net';

import * as callerConnections from '@medlarweir/caller-connections';
import * as httpFields from '@medlarweir/http-fields';
import * as processMemory from '@medlarweir/process-memory';

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
  onDropped(dropped: callerConnections.Dropped): void;
  memory: callerConnections.limits.Memory;
};

export function start(handlers: Handlers): callerConnections.Connections {
  // Node answers a missing host itself, without a code; the check of the head covers it.
  const server = http.createServer({ requireHostHeader: false }, (request, response) => {
    const turn = connections.begin(request, response);
    if (!turn) return;
    readRequest(bodies, request, turn, handlers.maxBodyBytes(), (readResult) =>
      turn.whenFirst(() => handlers.onRequest({ response, turn, readResult })),
    );
  });
  const { callerBytes, division, collector } = handlers.memory;
  const bodies = callerConnections.bodies.createReader(
    processMemory.blocks.createPool(division.callersBytes),
  );
  const budget = callerConnections.limits.callersBudget(callerBytes, division);
  const state = { maxConnections: handlers.memory.maxConnections };
  void callerConnections.limits.maxConnections(handlers.memory).then((maxConnections) => {
    Object.assign(state, { maxConnections });
  });
  const connections = callerConnections.watch(server, {
    limits: () => LIMITS,
    errorBody: { contentType: 'application/json', text: encode.malformedBody() },
    onEnded: handlers.onConnectionEnded,
    maxConnections: () => state.maxConnections,
    budget: () => budget,
    refuse,
    onDropped: handlers.onDropped,
    collector,
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

/** The request has not been handed on, so that it has no id yet. */
function refuse(response: http.ServerResponse): void {
  const { status, headers, body } = encode.overloaded();
  response.writeHead(status, { ...headers, connection: 'close' }).end(body);
}

/** Does not call back if the caller disconnects before the request is complete. */
function readRequest(
  bodies: callerConnections.bodies.Reader,
  request: http.IncomingMessage,
  turn: callerConnections.Turn,
  limitBytes: number,
  callback: (readResult: IncomingRequest['readResult']) => void,
): void {
  const { httpVersion, url: target = '/', rawHeaders } = request;
  const head = httpFields.check({ httpVersion, target, rawHeaders });
  if (head.isErr()) {
    callback({ kind: 'malformed', detail: head.error });
    return;
  }
  bodies.read(
    request,
    turn,
    () => limitBytes,
    (outcome) => {
      switch (outcome.kind) {
        case 'too-large':
          callback({ kind: 'too-large', limitBytes });
          return;
        case 'whole': {
          const { method = 'GET', headers } = request;
          const read = { method, path: target, headers: firstValues(headers), body: outcome.body };
          callback({ kind: 'whole', request: read });
          return;
        }
        default:
          throw new Error(`unexpected outcome: ${JSON.stringify(outcome satisfies never)}`);
      }
    },
  );
}

function firstValues(headers: http.IncomingHttpHeaders): Record<string, string> {
  const pairs = Object.entries(headers).flatMap(([name, value]) => {
    const first = Array.isArray(value) ? value[0] : value;
    return first === undefined ? [] : [[name, first] as const];
  });
  return Object.fromEntries(pairs);
}
