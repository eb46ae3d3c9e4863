/** The sockets of the callers' task: the HTTP server, and one pending response per request. */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';

import type * as callerConnections from '@medlarweir/caller-connections';
import * as core from '@medlarweir/core';

import * as encode from './encode.js';
import type * as requests from './requests.js';
import * as server from './server.js';

type PendingResponse = {
  response: http.ServerResponse;
  turn: callerConnections.Turn;
  model: string;
  isStream: boolean;
  /** The text received so far, for callers that do not stream. */
  parts: string[];
  exchange: core.kernel.Address<core.messages.ExchangeMessage> | undefined;
};

export type Handlers = {
  onRequest(requestId: string, readResult: server.IncomingRequest['readResult']): void;
  onFlowControl(requestId: string, flow: 'open' | 'paused'): void;
  onCallerDisconnected(requestId: string): void;
  /** Opens the address for callers. */
  listen(server: http.Server): void;
  onListening(address: string): void;
  onConnectionEnded(ended: callerConnections.Ended): void;
  onDropped(dropped: callerConnections.Dropped): void;
  memory: callerConnections.limits.Memory;
  onServerClosed(): void;
};

export type Connections = {
  listen(): void;
  /** Stores the model and the response mode (streamed or whole) of an accepted request. */
  expect(accepted: requests.Accepted): void;
  attachExchange(begun: core.messages.ExchangeBegun): void;
  tell(requestId: string, message: core.messages.ExchangeMessage): void;
  write(answer: core.messages.CallerResponse): void;
  setMaxBodyBytes(maxBodyBytes: number): void;
  /** From now on health checks fail, and each answer is the last on its connection. */
  startDrain(): void;
  close(): void;
};

const BODY_LIMIT_BEFORE_CONFIGURATION_BYTES = 1_000_000;
const HEALTH_PATH = '/healthz';

export function create(handlers: Handlers): Connections {
  const pendingResponses = new Map<string, PendingResponse>();
  let listener: callerConnections.Connections | undefined;
  let maxBodyBytes = BODY_LIMIT_BEFORE_CONFIGURATION_BYTES;
  let isDraining = false;

  function onRequest({ response, turn, readResult }: server.IncomingRequest): void {
    if (readResult.kind === 'whole' && readResult.request.path === HEALTH_PATH) {
      response.writeHead(isDraining ? 503 : 200).end(isDraining ? 'leaving\n' : 'serving\n');
      return;
    }
    const requestId = crypto.randomUUID();
    pendingResponses.set(requestId, {
      response,
      turn,
      model: '',
      isStream: false,
      parts: [],
      exchange: undefined,
    });
    response.on('close', () => {
      if (pendingResponses.has(requestId)) handlers.onCallerDisconnected(requestId);
      pendingResponses.delete(requestId);
    });
    response.on('drain', () => handlers.onFlowControl(requestId, 'open'));
    response.on('error', () => undefined);
    if (readResult.kind !== 'whole') response.setHeader('connection', 'close');
    handlers.onRequest(requestId, readResult);
  }

  return {
    listen() {
      listener = server.start({
        maxBodyBytes: () => maxBodyBytes,
        onRequest,
        listen: handlers.listen,
        onListening: handlers.onListening,
        onConnectionEnded: handlers.onConnectionEnded,
        onDropped: handlers.onDropped,
        memory: handlers.memory,
      });
    },
    expect({ request, isStream }) {
      const found = pendingResponses.get(request.requestId);
      if (found) Object.assign(found, { model: request.service.name, isStream });
    },
    attachExchange({ requestId, exchange }) {
      const found = pendingResponses.get(requestId);
      if (found) found.exchange = exchange;
      else exchange.send({ type: 'exchange.caller-disconnected' });
    },
    tell(requestId, message) {
      pendingResponses.get(requestId)?.exchange?.send(message);
    },
    write(answer) {
      const found = pendingResponses.get(answer.requestId);
      if (!found) return;
      const isLast = answer.type !== 'response.started' && answer.type !== 'response.token';
      if (isLast) pendingResponses.delete(answer.requestId);
      if ((isDraining || found.turn.isLast()) && !found.response.headersSent) {
        found.response.setHeader('connection', 'close');
      }
      writeTo(found, answer, () => handlers.onFlowControl(answer.requestId, 'paused'));
      found.turn.written();
    },
    setMaxBodyBytes(bytes) {
      maxBodyBytes = bytes;
    },
    startDrain() {
      isDraining = true;
    },
    close() {
      listener?.stop(() => handlers.onServerClosed());
    },
  };
}

function writeTo(
  pending: PendingResponse,
  answer: core.messages.CallerResponse,
  onFull: () => void,
): void {
  const { response } = pending;
  switch (answer.type) {
    case 'response.started':
      if (pending.isStream) startStream(response, answer.requestId);
      return;
    case 'response.token':
      if (!pending.isStream) pending.parts.push(answer.text);
      else if (!response.write(encode.tokenEvent(answer, pending.model))) onFull();
      return;
    case 'response.ended':
      if (pending.isStream) response.end(encode.endEvents(answer, pending.model));
      else {
        endJson(
          response,
          200,
          {},
          encode.completionBody(answer, pending.model, pending.parts.join('')),
        );
      }
      return;
    case 'response.complete':
      response.writeHead(answer.answer.status, {
        ...answer.answer.headers,
        'x-request-id': answer.requestId,
        ...(answer.isReplay ? { 'idempotency-replayed': 'true' } : {}),
      });
      response.end(answer.answer.body);
      return;
    case 'response.refused':
      refuse(response, answer);
      return;
    default:
      core.results.assertNever(answer);
  }
}

function startStream(response: http.ServerResponse, requestId: string): void {
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'cache-control': 'no-store',
    'x-request-id': requestId,
  });
  response.flushHeaders();
}

function refuse(
  response: http.ServerResponse,
  refusal: Extract<core.messages.CallerResponse, { type: 'response.refused' }>,
): void {
  if (response.headersSent) {
    response.end(encode.errorEvent(refusal));
    return;
  }
  const body = JSON.stringify(encode.errorBody(refusal));
  endJson(response, encode.refusalStatus(refusal), encode.refusalHeaders(refusal), body);
}

function endJson(
  response: http.ServerResponse,
  status: number,
  headers: Record<string, string>,
  body: string,
): void {
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(body);
}
