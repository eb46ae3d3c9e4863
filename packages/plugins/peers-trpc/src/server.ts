/** The HTTP server for messages of other instances and operators: reads them within a budget of memory. */
import * as http from 'node:http';

import * as callerConnections from '@medlarweir/caller-connections';
import * as processMemory from '@medlarweir/process-memory';

export type Options = {
  isAuthenticated(request: http.IncomingMessage): boolean;
  /** Answers a request whose body, as text, is its property `body`. */
  handle: http.RequestListener;
  onDropped(dropped: callerConnections.Dropped): void;
  collector: processMemory.collector.Collector;
};

export type Server = { server: http.Server; connections: callerConnections.Connections };

const LIMITS: callerConnections.Limits = { headMs: 10_000, bodyMs: 10_000, idleMs: 30_000 };
/** A whole configuration of the planned size has 730 KB. */
const MAX_MESSAGE_BYTES = 4 * 1_024 * 1_024;
/** Two of the largest messages. */
const BUDGET: callerConnections.memoryBudget.Budget = {
  connectionBytes: 2 * MAX_MESSAGE_BYTES,
  processBytes: 2 * MAX_MESSAGE_BYTES,
};
/** A few relays, and operators; a planned deployment has 380 instances. */
const MAX_CONNECTIONS = 1_000;

export function create({ isAuthenticated, handle, onDropped, collector }: Options): Server {
  // Node answers a missing host itself, and such requests would not be counted.
  const server = http.createServer({ requireHostHeader: false }, (request, response) => {
    const turn = connections.begin(request, response);
    if (!turn) return;
    response.on('error', () => undefined);
    request.on('error', () => undefined);
    const answer = (body: string) =>
      turn.whenFirst(() => {
        Object.assign(request, { body });
        handle(request, response);
      });
    if (!isAuthenticated(request)) {
      // The refusal needs no body, which ends with the connection.
      response.setHeader('Connection', 'close');
      answer('');
      return;
    }
    bodies.read(
      request,
      turn,
      () => MAX_MESSAGE_BYTES,
      (outcome) => {
        switch (outcome.kind) {
          case 'whole':
            answer(outcome.body.toString('utf8'));
            return;
          case 'too-large':
            turn.whenFirst(() => response.writeHead(413, { Connection: 'close' }).end());
            return;
          default:
            throw new Error(`unexpected outcome: ${JSON.stringify(outcome satisfies never)}`);
        }
      },
    );
  });
  const bodies = callerConnections.bodies.createReader(
    processMemory.blocks.createPool(MAX_MESSAGE_BYTES),
  );
  const connections = callerConnections.watch(server, {
    limits: () => LIMITS,
    errorBody: undefined,
    // Broken requests to this address are not worth a line each.
    onEnded: () => undefined,
    maxConnections: () => MAX_CONNECTIONS,
    budget: () => BUDGET,
    refuse: (response) => response.writeHead(503, { Connection: 'close' }).end(),
    onDropped,
    collector,
  });
  return { server, connections };
}
