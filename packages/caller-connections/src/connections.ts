/** Follows the connections of callers, and decides when each of them ends. */
import type * as http from 'node:http';
import * as net from 'node:net';

import * as answers from './answers.js';
import * as turns from './turns.js';

/** All in ms; callers that keep within them are never cut. */
export type Limits = {
  /** From the first byte of a head to its end. */
  headMs: number;
  /** From the end of a head to that of the body. */
  bodyMs: number;
  /** Without a byte of a request. */
  idleMs: number;
};

export type Ended = {
  reason: answers.Fault | 'behind-a-request';
  /** Of the HTTP parser; empty if a limit was passed. */
  code: string;
  /** 0 if the connection got no answer of its own. */
  status: number;
  /** Bytes that had been read from it; what the system holds unread is not among them. */
  readBytes: number;
  openRequests: number;
};

export type Options = {
  limits(): Limits;
  /** What the answer to a connection without a request says, beside its status. */
  errorBody: answers.ErrorBody | undefined;
  onEnded(ended: Ended): void;
};

export type Connections = {
  /** The turn of a request. Undefined if its connection takes none any more; it must not be answered. */
  begin(request: http.IncomingMessage, response: http.ServerResponse): turns.Turn | undefined;
  /** Stops accepting connections and closes idle ones. Calls back once the others are closed, too. */
  stop(onClosed?: () => void): void;
  /** Closes all, also those with a request in flight. */
  closeAll(): void;
};

/**
 * `ending`: takes no requests beside those in flight. `answered`: what still arrives is read and dropped, since
 * a reset could take the answer away from the caller.
 */
type Phase = 'open' | 'ending' | 'answered';

type Wait = 'request' | 'rest-of-head' | 'rest-of-body' | 'answer' | 'close';

type Connection = {
  socket: net.Socket;
  phase: Phase;
  turns: turns.Waiting[];
  /** `socket.bytesRead` when the last request ended. */
  idleAtBytes: number;
  wait: Wait;
  waitedMs: number;
};

/** How often limits are checked; each is kept to this precision, and never cut short. */
const CHECK_INTERVAL_MS = 500;
/** How long an answered connection is read on. */
const LINGER_MS = 1_000;

export function watch(server: http.Server, options: Options): Connections {
  const all = new Map<net.Socket, Connection>();

  // The server's own limits strike before what arrived in a stall is read, and answer nothing for good.
  Object.assign(server, { headersTimeout: 0, requestTimeout: 0 });
  server.on('timeout', () => undefined);
  server.on('connection', (socket: net.Socket) => {
    all.set(socket, {
      socket,
      phase: 'open',
      turns: [],
      idleAtBytes: 0,
      wait: 'request',
      waitedMs: -CHECK_INTERVAL_MS,
    });
    socket.on('close', () => all.delete(socket));
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket: net.Socket) => {
    const connection = all.get(socket);
    const { code = '' } = error;
    // Only the parser's errors are about a request; others are the end of the connection.
    if (connection && code.startsWith('HPE_')) onMalformed(connection, code);
    else socket.destroy();
  });
  const checks = setInterval(() => [...all.values()].forEach(check), CHECK_INTERVAL_MS);
  checks.unref();
  server.on('close', () => clearInterval(checks));

  function onMalformed(connection: Connection, code: string): void {
    // The parser reports everything that follows a first error.
    if (connection.phase !== 'open') return;
    if (connection.turns.at(-1)?.request.complete) {
      report(connection, 'behind-a-request', code, 0);
      Object.assign(connection, { phase: 'ending' });
    } else answer(connection, code === 'HPE_HEADER_OVERFLOW' ? 'large-head' : 'malformed', code);
  }

  /** Behind the answers to the requests before it. */
  function answer(connection: Connection, fault: answers.Fault, code: string): void {
    const last = connection.turns.at(-1);
    report(connection, fault, code, answers.statusOf(fault));
    if (!last) finish(connection, answers.textOf(fault, options.errorBody));
    else {
      Object.assign(connection, { phase: 'ending' });
      if (!last.response.headersSent) answers.write(last.response, fault, options.errorBody);
    }
  }

  function report(
    { socket, turns: { length: openRequests } }: Connection,
    reason: Ended['reason'],
    code: string,
    status: number,
  ): void {
    options.onEnded({ reason, code, status, readBytes: socket.bytesRead, openRequests });
  }

  /**
   * Counts checks and not time: after a stall of the process, the time in which it did not read is none of
   * the caller's.
   */
  function check(connection: Connection): void {
    const wait = waitOf(connection);
    if (wait !== connection.wait) restartWait(connection, wait);
    Object.assign(connection, { waitedMs: connection.waitedMs + CHECK_INTERVAL_MS });
    if (connection.waitedMs < limitOf(wait)) return;
    const { bytesRead } = connection.socket;
    afterNextRead(() => {
      const hasMoved = waitOf(connection) !== wait || connection.socket.bytesRead !== bytesRead;
      if (!hasMoved) endWait(connection, wait);
    });
  }

  function limitOf(wait: Wait): number {
    const { headMs, bodyMs, idleMs } = options.limits();
    switch (wait) {
      case 'request':
        return idleMs;
      case 'rest-of-head':
        return headMs;
      case 'rest-of-body':
        return bodyMs;
      case 'answer':
        return Infinity;
      case 'close':
        return LINGER_MS;
      default:
        throw new Error(`unexpected wait: ${JSON.stringify(wait satisfies never)}`);
    }
  }

  function endWait(connection: Connection, wait: Wait): void {
    switch (wait) {
      case 'rest-of-head':
        answer(connection, 'slow-head', '');
        return;
      case 'rest-of-body':
        answer(connection, 'slow-body', '');
        return;
      case 'request':
      case 'close':
        connection.socket.destroy();
        return;
      case 'answer':
        return;
      default:
        throw new Error(`unexpected wait: ${JSON.stringify(wait satisfies never)}`);
    }
  }

  return {
    begin(request, response) {
      const connection = all.get(request.socket);
      if (connection?.phase !== 'open') {
        request.resume();
        return undefined;
      }
      const waiting: turns.Waiting = { request, response, start: undefined };
      connection.turns.push(waiting);
      response.on('close', () => onAnswered(connection, waiting));
      return {
        whenFirst(start) {
          waiting.start = start;
          turns.advance(connection.socket, connection.turns);
        },
        isLast: () => connection.phase !== 'open' && connection.turns.at(-1) === waiting,
      };
    },
    stop(onClosed) {
      // The HTTP server's own `close` also cuts answers that have been written but not read.
      net.Server.prototype.close.call(server, onClosed);
      [...all.values()].filter(isIdle).forEach(({ socket }) => socket.destroy());
    },
    closeAll: () => [...all.keys()].forEach((socket) => socket.destroy()),
  };
}

function onAnswered(connection: Connection, answered: turns.Waiting): void {
  const { socket, phase } = connection;
  connection.turns.splice(connection.turns.indexOf(answered), 1);
  Object.assign(connection, { idleAtBytes: socket.bytesRead });
  restartWait(connection, waitOf(connection));
  if (phase === 'ending' && connection.turns.length === 0) finish(connection, '');
  else turns.advance(socket, connection.turns);
}

function finish(connection: Connection, text: string): void {
  Object.assign(connection, { phase: 'answered' });
  connection.socket.end(text);
}

function restartWait(connection: Connection, wait: Wait): void {
  Object.assign(connection, { wait, waitedMs: -CHECK_INTERVAL_MS });
}

function isIdle(connection: Connection): boolean {
  return waitOf(connection) === 'request';
}

function waitOf({ socket, phase, turns: waiting, idleAtBytes }: Connection): Wait {
  if (phase === 'answered') return 'close';
  const last = waiting.at(-1);
  if (last) return last.request.complete ? 'answer' : 'rest-of-body';
  return socket.bytesRead > idleAtBytes ? 'rest-of-head' : 'request';
}

/**
 * Calls back once the sockets have been read again. After a stall of the process, timers fire before
 * what arrived meanwhile is read, and the end of a caller's connection is read only after the request
 * that arrived before it.
 */
export function afterNextRead(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}
