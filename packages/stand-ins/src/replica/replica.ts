/**
 * A stand-in for an upstream of the users' platform: answers requests with one body or a stream of
 * events, reports its weight versions, accepts orders, and injects the faults that a test selects.
 */
import * as http from 'node:http';
import type * as net from 'node:net';

import * as addresses from '../addresses.js';
import * as copiedRefusals from './copied-refusals.js';
import * as crashes from './crashes.js';
import * as endless from './endless.js';
import * as eventStreams from './event-streams.js';
import * as pacing from './pacing.js';
import * as headerLines from './header-lines.js';
import * as resumptions from './resumptions.js';
import * as weightsOrders from './weights-orders.js';

/**
 * `not-executed`: 503 with the header that confirms that the request did not run. `foreign-answer`:
 * carries another request's id. `no-request-id`: carries none. `cut`: the connection closes in the
 * middle of the response. `close-delimited`: no length; the end of the connection ends the response.
 * `close-delimited-reset`: the same, but the connection is reset. `close-delimited-empty` and
 * `close-delimited-half`: a stream without a length that ends properly before or inside an event.
 * `malformed-response`: bytes that are not an HTTP response. `unrequested-encoding`: a content encoding
 * that was not requested. `unconfirmed-503`: 503 without that header. `silent`: never responds.
 * `error`: 500. `extra-response`: a second response after the first. `no-seal`: 200 without the seal.
 */
export type { Copying } from './copied-refusals.js';
export { ENDLESS_FAULTS } from './endless.js';
export { PACE_HEADERS } from './pacing.js';
export { RESUMPTION_FAULTS } from './resumptions.js';

export type Fault =
  | 'none'
  | 'not-executed'
  | 'foreign-answer'
  | 'no-request-id'
  | 'cut'
  | 'close-delimited'
  | 'close-delimited-reset'
  | 'close-delimited-empty'
  | 'close-delimited-half'
  | 'malformed-response'
  | 'unrequested-encoding'
  | 'unconfirmed-503'
  | 'silent'
  | 'error'
  | 'extra-response'
  | 'no-seal'
  | resumptions.ResumptionFault
  | endless.EndlessFault;

export type ReceivedRequest = {
  requestId: string;
  method: string;
  path: string;
  headers: http.IncomingHttpHeaders;
  body: string;
};

type RanListener = (ran: ReceivedRequest) => void;
export type Options = { id?: string; model?: string; version?: number; onRan?: RanListener };

export type Replica = {
  id: string;
  address: string;
  /** Requests that started to run. */
  ran: readonly ReceivedRequest[];
  /** All requests received, whether they ran or not. */
  receivedRequests: readonly ReceivedRequest[];
  /** Number of runs whose connection closed before the response was complete. */
  countAbandoned(): number;
  /** Connections on which an answer without end has not been closed. */
  countEndless(): number;
  setFault(fault: Fault): void;
  /** Whether and when it writes its refusals once more. */
  setCopying(copying: copiedRefusals.Copying): void;
  /** From now on, a prompt with the part or a request with the body crashes the upstream that runs it. */
  setDeadlyPart(part: string, downMs: number): void;
  setDeadlyBody(body: string, downMs: number): void;
  /** Called with the time of each start after a crash. */
  onRestart(listener: (startedAtMs: number) => Promise<void>): void;
  countCrashes(): number;
  /** Sets the number of events in a stream and the pause between them. */
  setStream(events: number, pauseMs: number): void;
  version(): number;
  close(): Promise<void>;
};

const SEAL = 'x-medlarweir-response-seal';
const REQUEST_ID = 'x-medlarweir-request-id';

export async function start({
  id = 'i-1',
  model = 'model-1',
  version = 1,
  onRan = () => undefined,
}: Options = {}): Promise<Replica> {
  const state = {
    fault: 'none' as Fault,
    events: 4,
    pauseMs: 5,
    version,
    orders: 0,
    fence: 0,
    abandoned: 0,
    endless: 0,
  };
  const ran: ReceivedRequest[] = [];
  const receivedRequests: ReceivedRequest[] = [];

  function answer(
    received: ReceivedRequest,
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ) {
    receivedRequests.push(received);
    const expected = received.headers['x-medlarweir-expect-instance'];
    const weights = received.headers['x-medlarweir-expect-version'];
    const isOther = expected !== undefined && expected !== id;
    if (isOther || (weights !== undefined && weights !== String(state.version))) {
      const headers = { [REQUEST_ID]: received.requestId, 'x-medlarweir-instance-id': id };
      copies.refuse(response, 421, headers);
      return;
    }
    if (state.fault === 'not-executed') {
      const headers = { [REQUEST_ID]: received.requestId, 'x-medlarweir-not-executed': '1' };
      copies.refuse(response, 503, headers);
      return;
    }
    ran.push(received);
    onRan(received);
    response.on('close', () => {
      if (!response.writableFinished) state.abandoned += 1;
    });
    const isStream = received.headers['x-medlarweir-model'] !== undefined;
    if (crasher.isDeadly(received)) {
      if (isStream) eventStreams.begin(response, headersOf(received));
      setTimeout(crasher.crash, state.pauseMs);
      return;
    }
    if (state.fault === 'silent') return;
    if (endless.isEndless(state.fault)) {
      state.endless += 1;
      request.socket.on('close', () => {
        state.endless -= 1;
      });
      endless.answer(request.socket, state.fault, headerLines.of(headersOf(received)));
      return;
    }
    if (resumptions.isResumption(state.fault) && received.headers['last-event-id'] !== undefined) {
      resumptions.answer(response, state.fault, headersOf(received));
      return;
    }
    pacing.afterDelay(received.headers, () => {
      if (isStream) stream(received, response);
      else whole(received, request.socket, response);
    });
  }

  function headersOf({ requestId }: ReceivedRequest): Record<string, string> {
    const shown = state.fault === 'foreign-answer' ? 'another-request' : requestId;
    return {
      ...(state.fault === 'no-request-id' ? {} : { [REQUEST_ID]: shown }),
      ...(state.fault === 'no-seal' ? {} : { [SEAL]: `seal-${id}` }),
      ...(state.fault === 'unrequested-encoding' ? { 'content-encoding': 'gzip' } : {}),
      'x-medlarweir-server-load': '1,0,8',
      'x-medlarweir-weight-versions': String(state.version),
    };
  }

  function whole(
    received: ReceivedRequest,
    socket: net.Socket,
    response: http.ServerResponse,
  ): void {
    const body = pacing.paddedBody(received.headers, `answer to ${received.requestId} by ${id}`);
    const headers = headersOf(received);
    const lines = headerLines.of(headers);
    const closeDelimited = `HTTP/1.1 200 OK\r\n${lines}connection: close\r\n\r\n${body}`;
    switch (state.fault) {
      case 'malformed-response':
        socket.end('these bytes are no answer\r\n\r\n');
        return;
      case 'close-delimited':
        socket.end(closeDelimited);
        return;
      case 'close-delimited-reset':
        socket.write(closeDelimited, () =>
          setTimeout(() => socket.resetAndDestroy(), state.pauseMs),
        );
        return;
      case 'cut':
        response.writeHead(200, { ...headers, 'content-length': body.length * 2 });
        response.write(body, () => socket.destroy());
        return;
      case 'extra-response':
        response.writeHead(200, { ...headers, 'content-length': body.length });
        response.end(body, () =>
          socket.write(`HTTP/1.1 200 OK\r\n${lines}content-length: 0\r\n\r\n`),
        );
        return;
      case 'error':
        response.writeHead(500, headers).end('failed');
        return;
      case 'unconfirmed-503':
        response.writeHead(503, headers).end('busy');
        return;
      case 'none':
      case 'close-delimited-empty':
      case 'close-delimited-half':
      case 'not-executed':
      case 'foreign-answer':
      case 'no-request-id':
      case 'unrequested-encoding':
      case 'silent':
      case 'no-seal':
      case 'resumed-by-error':
      case 'resumed-by-body':
      case 'resumed-by-no-content':
      case 'resumed-by-no-event':
        response.writeHead(200, headers).end(body);
        return;
      case 'endless-head':
      case 'endless-interim-heads':
      case 'endless-body':
      case 'endless-chunk-extension':
      case 'endless-comments':
      case 'endless-event':
      case 'endless-surplus':
        throw new Error('handled before');
      default:
        throw new Error(`unexpected fault: ${JSON.stringify(state.fault satisfies never)}`);
    }
  }

  function stream(received: ReceivedRequest, response: http.ServerResponse): void {
    const { fault } = state;
    const pace = pacing.streamPaceOf(received.headers, state);
    const after = Number(received.headers['last-event-id'] ?? 0);
    const ending = eventStreams.endingOf(fault);
    eventStreams.write(response, headersOf(received), { after, ...pace, ending });
  }

  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = [];
    response.on('error', () => undefined);
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const body = Buffer.concat(chunks).toString('utf8');
      const { url: path = '', method = '', headers } = request;
      if (path === '/-/report') {
        const models = [{ name: model, version: state.version, adapters: [] }];
        response.end(JSON.stringify({ models, busy: false, seq: state.orders }));
      } else if (path === '/-/order') weightsOrders.answer(state, body, response);
      else if (path === '/health') {
        response.writeHead(200, { 'x-medlarweir-instance-id': id }).end();
      } else {
        const requestId = String(headers[REQUEST_ID]);
        const received = { requestId, method, path, headers, body };
        copies.beforeAnswer(request.socket, () => answer(received, request, response));
      }
    });
  });
  const copies = copiedRefusals.create();
  const crasher = crashes.create(server);
  // It listens there again after a crash.
  const address = await addresses.listen(server);
  return {
    id,
    address,
    ran,
    receivedRequests,
    countAbandoned: () => state.abandoned,
    countEndless: () => state.endless,
    setFault: (fault) => {
      state.fault = fault;
    },
    setCopying: copies.setCopying,
    setDeadlyPart: crasher.setDeadlyPart,
    setDeadlyBody: crasher.setDeadlyBody,
    onRestart: crasher.onRestart,
    countCrashes: crasher.count,
    setStream: (events, pauseMs) => Object.assign(state, { events, pauseMs }),
    version: () => state.version,
    close: crasher.close,
  };
}
