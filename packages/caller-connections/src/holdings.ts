/** What the connections of one server hold in memory, and the end of those that hold too much. */
import type * as http from 'node:http';
import type * as net from 'node:net';

import * as costs from './costs.js';
import * as memoryBudget from './memory-budget.js';
import type * as turns from './turns.js';

/** Of one connection. */
export type Holding = {
  socket: net.Socket;
  turns: readonly turns.Waiting[];
  /** Approximate number of the bytes read that belong to complete heads and to bodies. */
  parsedBytes: number;
  /** Bytes that had been read, and gone through the parser, with the last chunk. */
  readBytes: number;
  /** Memory of its requests, bodies and unread responses, and of what is not parsed. */
  bytes: number;
  unparsedCost: number;
  /** What it held when it was destroyed, until it is closed. */
  closingBytes: number;
  /** When it began to hold something; by the clock of the process. */
  sinceMs: number;
  isDropped: boolean;
};

/** The connections that ended since the last report, for want of memory or of connections. */
export type Dropped = {
  /** Answered as not run. */
  refused: number;
  closed: number;
  heldBytes: number;
  peers: number;
};

export type Options = {
  budget(): memoryBudget.Budget;
  /** Answers a request that has not been handed on as not run, and closes its connection. */
  refuse(response: http.ServerResponse): void;
};

export type Holdings = {
  add(socket: net.Socket, waiting: readonly turns.Waiting[]): Holding;
  remove(holding: Holding): void;
  /** Counts memory that a connection holds, or no longer holds if negative. */
  hold(holding: Holding, bytes: number): void;
  /** A head is complete, which shows that all that was read before the current chunk is parsed. */
  beginMessage(holding: Holding, headBytes: number): void;
  /** Counts bytes on the wire as parsed. */
  parsed(holding: Holding, bytes: number): void;
  /** Counts what has been read and is not parsed. */
  update(holding: Holding): void;
  /** Answers or closes the connection, whatever it holds. */
  drop(holding: Holding): void;
  /** Whether much memory of destroyed connections waits for their close. */
  isClosing(): boolean;
  /** What was dropped since the last call; undefined if nothing was. */
  report(): Dropped | undefined;
};

/** Share of the budget that dropped connections may keep before no other is read on. */
const CLOSING_SHARE = 0.25;

export function create({ budget, refuse }: Options): Holdings {
  const all = new Set<Holding>();
  const total = { bytes: 0, closingBytes: 0 };
  const dropped = { refused: 0, closed: 0, heldBytes: 0, peers: new Set<string>() };

  function drop(holding: Holding): void {
    if (holding.isDropped) return;
    const { socket, turns: waiting, bytes } = holding;
    const [first, ...others] = waiting;
    const mayBeRefused =
      first && others.length === 0 && !first.isHandedOn && !first.response.headersSent;
    dropped.heldBytes += bytes;
    dropped.peers.add(peerOf(holding));
    Object.assign(holding, { isDropped: true });
    waiting.forEach(({ request }) => forget(request));
    settle(holding);
    if (mayBeRefused) {
      dropped.refused += 1;
      refuse(first.response);
    } else {
      dropped.closed += 1;
      total.closingBytes += bytes;
      Object.assign(holding, { closingBytes: bytes });
      socket.destroy();
    }
  }

  /** No longer counts what the connection holds. */
  function settle(holding: Holding): void {
    if (!all.delete(holding)) return;
    total.bytes -= holding.bytes;
    Object.assign(holding, { bytes: 0 });
  }

  function hold(holding: Holding, bytes: number): void {
    if (!all.has(holding) || bytes === 0) return;
    if (holding.bytes === 0) Object.assign(holding, { sinceMs: performance.now() });
    Object.assign(holding, { bytes: holding.bytes + bytes });
    total.bytes += bytes;
    if (bytes > 0) enforce(holding);
  }

  function enforce(holding: Holding): void {
    const verdict = memoryBudget.judge(budget(), holding.bytes, total.bytes);
    switch (verdict.kind) {
      case 'fits':
        return;
      case 'connection-over':
        drop(holding);
        return;
      case 'process-over': {
        const holders = [...all].map(toHolder);
        memoryBudget.choose(holders, verdict.excessBytes).forEach(({ key }) => drop(key));
        return;
      }
      default:
        throw new Error(`unexpected verdict: ${JSON.stringify(verdict satisfies never)}`);
    }
  }

  function update(holding: Holding): void {
    const { socket, parsedBytes, unparsedCost: before } = holding;
    const unparsedCost = costs.ofUnparsed(socket.bytesRead - parsedBytes);
    Object.assign(holding, { unparsedCost, readBytes: socket.bytesRead });
    hold(holding, unparsedCost - before);
  }

  return {
    add(socket, waiting) {
      const holding: Holding = {
        socket,
        turns: waiting,
        parsedBytes: 0,
        readBytes: 0,
        bytes: 0,
        unparsedCost: 0,
        closingBytes: 0,
        sinceMs: 0,
        isDropped: false,
      };
      all.add(holding);
      return holding;
    },
    remove(holding) {
      settle(holding);
      total.closingBytes -= holding.closingBytes;
      Object.assign(holding, { closingBytes: 0 });
    },
    hold,
    beginMessage(holding, headBytes) {
      const { socket, parsedBytes, readBytes } = holding;
      const parsed = Math.max(parsedBytes, readBytes) + headBytes;
      Object.assign(holding, { parsedBytes: Math.min(parsed, socket.bytesRead) });
    },
    parsed(holding, bytes) {
      Object.assign(holding, { parsedBytes: holding.parsedBytes + bytes });
    },
    update,
    drop,
    isClosing: () => total.closingBytes > budget().processBytes * CLOSING_SHARE,
    report() {
      const { refused, closed, heldBytes, peers } = dropped;
      if (refused + closed === 0) return undefined;
      Object.assign(dropped, { refused: 0, closed: 0, heldBytes: 0, peers: new Set() });
      return { refused, closed, heldBytes, peers: peers.size };
    },
  };
}

/**
 * The runtime keeps a request until its connection has been closed, which is after all other connections
 * have been read: crowds of 400 heads ran out of memory before.
 */
export function forget(request: http.IncomingMessage): void {
  Object.assign(request, { rawHeaders: [], headers: {} });
}

function peerOf({ socket }: Holding): string {
  return socket.remoteAddress ?? '';
}

/** A request that runs keeps what it holds: ending it gives its work away. */
function toHolder(holding: Holding): memoryBudget.Holder<Holding> {
  const { turns: waiting, bytes, sinceMs } = holding;
  const [first] = waiting;
  const isRunning = waiting.length === 1 && first?.isHandedOn === true && first.unreadBytes === 0;
  return {
    key: holding,
    peer: peerOf(holding),
    bytes: isRunning ? 0 : bytes,
    heldMs: performance.now() - sinceMs,
  };
}
