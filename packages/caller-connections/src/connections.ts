/** Follows the connections of callers, and decides when each of them ends. */
import type * as http from 'node:http';
import * as net from 'node:net';

import * as answers from './answers.js';
import * as connectionState from './connection-state.js';
import * as costs from './costs.js';
import * as feed from './feed.js';
import * as holdings from './holdings.js';
import * as pauses from './pauses.js';
import * as turns from './turns.js';
import type * as types from './types.js';

/** Requests that wait on a connection before it is read no further for now. */
const MAX_READ_AHEAD = 16;
/** How long an answered connection is read on. */
const LINGER_MS = 1_000;

export function watch(server: http.Server, options: types.Options): types.Connections {
  const all = new Map<net.Socket, connectionState.Connection>();
  const held = holdings.create(options);
  const paused = pauses.create();
  const resumeInTurn = feed.createTurns();

  // The server's own limits strike before what arrived in a stall is read, and answer nothing for good. By
  // default it also leaves out the header lines behind the first thousand.
  Object.assign(server, { headersTimeout: 0, requestTimeout: 0, maxHeadersCount: 0 });
  server.on('timeout', () => undefined);
  server.on('connection', (socket: net.Socket) => {
    const waiting: turns.Waiting[] = [];
    const holding = held.add(socket, waiting);
    const connection = connectionState.create(socket, waiting, holding);
    all.set(socket, connection);
    feed.attach(socket, {
      isInBody: () => waiting.at(-1)?.request.complete === false,
      isDropped: () => holding.isDropped,
      resumeInTurn,
      onRead: options.collector.allocated,
      onParsed() {
        held.update(holding);
        // What a destroyed connection held is free once it is closed, which is after all reads.
        if (held.isClosing()) paused.pause(socket);
      },
    });
    socket.on('close', () => {
      all.delete(socket);
      paused.remove(socket);
      held.remove(holding);
      if (!held.isClosing()) paused.resumeAll();
      // Node closes only the first of the responses.
      [...waiting].forEach((each) => turns.remove(waiting, each));
    });
    if (all.size > options.maxConnections()) closeIdle(socket);
  });
  server.on('clientError', (error: NodeJS.ErrnoException, socket: net.Socket) => {
    const connection = all.get(socket);
    const { code = '' } = error;
    // Only the parser's errors are about a request; others are the end of the connection.
    if (connection && code.startsWith('HPE_')) onMalformed(connection, code);
    else socket.destroy();
  });
  // Node would answer these itself, and they would not be counted.
  server.on('checkExpectation', (request, response) =>
    begin(request, response)?.whenFirst(() => {
      response.writeHead(417, { Connection: 'close', 'Content-Length': 0 }).end();
    }),
  );
  const checks = setInterval(() => {
    all.forEach(check);
    const dropped = held.report();
    if (dropped) options.onDropped(dropped);
  }, connectionState.CHECK_INTERVAL_MS);
  checks.unref();
  server.on('close', () => clearInterval(checks));

  /** Ends the new connection if all others are in use. */
  function closeIdle(socket: net.Socket): void {
    const chosen = connectionState.chooseIdle([...all.values()], socket);
    if (chosen.length > 0) chosen.forEach(({ holding }) => held.drop(holding));
    else socket.destroy();
  }

  function onMalformed(connection: connectionState.Connection, code: string): void {
    // The parser reports everything that follows a first error.
    if (connection.phase !== 'open') return;
    if (connection.turns.at(-1)?.request.complete) {
      report(connection, 'behind-a-request', code, 0);
      Object.assign(connection, { phase: 'ending' });
    } else answer(connection, code === 'HPE_HEADER_OVERFLOW' ? 'large-head' : 'malformed', code);
  }

  /** Behind the answers to the requests before it. */
  function answer(
    connection: connectionState.Connection,
    fault: answers.Fault,
    code: string,
  ): void {
    const last = connection.turns.at(-1);
    report(connection, fault, code, answers.statusOf(fault));
    if (!last) finish(connection, answers.textOf(fault, options.errorBody));
    else {
      Object.assign(connection, { phase: 'ending' });
      if (!last.response.headersSent) answers.write(last.response, fault, options.errorBody);
    }
  }

  function report(
    { socket, turns: { length: openRequests } }: connectionState.Connection,
    reason: types.Ended['reason'],
    code: string,
    status: number,
  ): void {
    options.onEnded({ reason, code, status, readBytes: socket.bytesRead, openRequests });
  }

  /**
   * Counts checks and not time: after a stall of the process, the time in which it did not read is none of
   * the caller's.
   */
  function check(connection: connectionState.Connection): void {
    const wait = connectionState.waitOf(connection);
    if (wait !== connection.wait) connectionState.restartWait(connection, wait);
    Object.assign(connection, {
      waitedMs: connection.waitedMs + connectionState.CHECK_INTERVAL_MS,
    });
    if (connection.waitedMs < limitOf(wait)) return;
    const { bytesRead } = connection.socket;
    afterNextRead(() => {
      const hasMoved =
        connectionState.waitOf(connection) !== wait || connection.socket.bytesRead !== bytesRead;
      if (!hasMoved) endWait(connection, wait);
    });
  }

  function limitOf(wait: connectionState.Wait): number {
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

  function endWait(connection: connectionState.Connection, wait: connectionState.Wait): void {
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

  function begin(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): turns.Turn | undefined {
    const connection = all.get(request.socket);
    if (connection?.phase !== 'open' || connection.holding.isDropped) {
      holdings.forget(request);
      request.resume();
      return undefined;
    }
    const { holding } = connection;
    const waiting: turns.Waiting = {
      request,
      response,
      start: undefined,
      isHandedOn: false,
      heldBytes: 0,
      unreadBytes: 0,
      isOver: false,
      onOver: [],
    };
    const hold = (bytes: number) => {
      if (waiting.isOver) return;
      waiting.heldBytes += bytes;
      held.hold(holding, bytes);
    };
    connection.turns.push(waiting);
    // The end of the connection is reported by `close`.
    response.on('error', () => undefined);
    response.on('close', () => {
      held.hold(holding, -waiting.heldBytes);
      onAnswered(connection, waiting);
    });
    held.beginMessage(holding, costs.wireBytes(request));
    hold(costs.ofRequest(request));
    if (holding.isDropped) return undefined;
    if (connection.turns.length > MAX_READ_AHEAD) connection.socket.pause();
    return {
      whenFirst(start) {
        waiting.start = start;
        turns.advance(connection.socket, connection.turns);
      },
      isLast: () => connection.phase !== 'open' && connection.turns.at(-1) === waiting,
      whenOver: (callback) => waiting.onOver.push(callback),
      isTaken: () => !holding.isDropped && !waiting.isOver,
      hold,
      parsed(bytes) {
        held.parsed(holding, bytes);
        options.collector.allocated(bytes);
      },
      kept: options.collector.kept,
      written() {
        const unreadBytes = response.writableLength;
        hold(unreadBytes - waiting.unreadBytes);
        Object.assign(waiting, { unreadBytes });
      },
    };
  }

  return {
    begin,
    stop(onClosed) {
      // The HTTP server's own `close` also cuts answers that have been written but not read.
      net.Server.prototype.close.call(server, onClosed);
      [...all.values()].filter(connectionState.isIdle).forEach(({ socket }) => socket.destroy());
    },
    closeAll: () => [...all.keys()].forEach((socket) => socket.destroy()),
  };
}

function onAnswered(connection: connectionState.Connection, answered: turns.Waiting): void {
  const { socket, phase } = connection;
  turns.remove(connection.turns, answered);
  Object.assign(connection, { idleAtBytes: socket.bytesRead });
  if (connection.turns.length <= MAX_READ_AHEAD && socket.isPaused()) socket.resume();
  connectionState.restartWait(connection, connectionState.waitOf(connection));
  if (phase === 'ending' && connection.turns.length === 0) finish(connection, '');
  else turns.advance(socket, connection.turns);
}

function finish(connection: connectionState.Connection, text: string): void {
  Object.assign(connection, { phase: 'answered' });
  connection.socket.end(text);
}

/**
 * Calls back once the sockets have been read again. After a stall of the process, timers fire before
 * what arrived meanwhile is read, and the end of a caller's connection is read only after the request
 * that arrived before it.
 */
export function afterNextRead(callback: () => void): void {
  setImmediate(() => setImmediate(callback));
}
