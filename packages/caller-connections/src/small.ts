/** Servers that take no bodies and answer at once, such as those for readiness and metrics. */
import * as http from 'node:http';

import * as connections from './connections.js';
import type * as holdings from './holdings.js';
import * as limits from './limits.js';
import type * as types from './types.js';

export type Options = {
  /** Answers at once, or when the promise that it returns is fulfilled; that must not fail. */
  answer(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> | undefined;
  onDropped(dropped: holdings.Dropped): void;
};

export type Small = { server: http.Server; connections: types.Connections };

/** A balancer, scrapers and operators use a few. */
const MAX_CONNECTIONS = 128;
const LIMITS: types.Limits = { headMs: 3_000, bodyMs: 3_000, idleMs: 15_000 };
const MAX_HEADER_BYTES = 16_384;

export function create({ answer, onDropped }: Options): Small {
  // Node answers a missing host itself, and such requests would not be counted.
  const server = http.createServer(
    { maxHeaderSize: MAX_HEADER_BYTES, requireHostHeader: false },
    (request, response) => {
      const turn = watched.begin(request, response);
      if (!turn) return;
      response.on('error', () => undefined);
      request.on('error', () => undefined);
      // A body is not read: its connection ends behind the answer.
      const { 'content-length': length = '0', 'transfer-encoding': coding } = request.headers;
      if (length !== '0' || coding !== undefined) response.setHeader('Connection', 'close');
      turn.whenFirst(() => {
        const answered = answer(request, response);
        if (answered) void answered.then(turn.written);
        else turn.written();
      });
    },
  );
  const budget = limits.smallBudget();
  const watched = connections.watch(server, {
    limits: () => LIMITS,
    errorBody: undefined,
    // Thousands of broken requests to these addresses are not worth a line each.
    onEnded: () => undefined,
    maxConnections: () => MAX_CONNECTIONS,
    budget: () => budget,
    refuse: (response) => response.writeHead(503, { Connection: 'close' }).end(),
    onDropped,
    // Bodies are not read here.
    collector: { allocated: () => undefined, kept: () => undefined },
  });
  return { server, connections: watched };
}
