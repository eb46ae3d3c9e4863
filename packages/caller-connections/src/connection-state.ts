/** What is known of one connection, and what it waits for. */
import type * as net from 'node:net';

import type * as holdings from './holdings.js';
import * as memoryBudget from './memory-budget.js';
import type * as turns from './turns.js';

/**
 * `ending`: takes no requests beside those in flight. `answered`: what still arrives is read and dropped, since
 * a reset could take the answer away from the caller.
 */
export type Phase = 'open' | 'ending' | 'answered';

export type Wait = 'request' | 'rest-of-head' | 'rest-of-body' | 'answer' | 'close';

export type Connection = {
  socket: net.Socket;
  phase: Phase;
  turns: turns.Waiting[];
  /** `socket.bytesRead` when the last request ended. */
  idleAtBytes: number;
  wait: Wait;
  waitedMs: number;
  holding: holdings.Holding;
};

/** How often limits are checked; each is kept to this precision, and never cut short. */
export const CHECK_INTERVAL_MS = 500;

export function create(
  socket: net.Socket,
  waiting: turns.Waiting[],
  holding: holdings.Holding,
): Connection {
  return {
    socket,
    phase: 'open',
    turns: waiting,
    idleAtBytes: 0,
    wait: 'request',
    waitedMs: -CHECK_INTERVAL_MS,
    holding,
  };
}

export function restartWait(connection: Connection, wait: Wait): void {
  Object.assign(connection, { wait, waitedMs: -CHECK_INTERVAL_MS });
}

/** Share of the connections that is closed at once where there are too many. */
const CLOSED_SHARE = 0.02;

/** The connections to close in favour of a new one. */
export function chooseIdle(all: readonly Connection[], newest: net.Socket): readonly Connection[] {
  const others = all.filter(({ socket }) => socket !== newest);
  const count = Math.ceil(others.length * CLOSED_SHARE);
  return memoryBudget.chooseIdle(others.map(toIdle), count).map(({ key }) => key);
}

function toIdle(connection: Connection): memoryBudget.Idle<Connection> {
  const { waitedMs, idleAtBytes } = connection;
  return { key: connection, use: useOf(waitOf(connection), idleAtBytes), waitedMs };
}

function useOf(wait: Wait, idleAtBytes: number): memoryBudget.ConnectionUse {
  switch (wait) {
    case 'request':
      return idleAtBytes > 0 ? 'kept' : 'unused';
    case 'rest-of-head':
    case 'close':
      return 'half-a-head';
    case 'rest-of-body':
    case 'answer':
      return 'in-use';
    default:
      throw new Error(`unexpected wait: ${JSON.stringify(wait satisfies never)}`);
  }
}

export function isIdle(connection: Connection): boolean {
  return waitOf(connection) === 'request';
}

export function waitOf({ socket, phase, turns: waiting, idleAtBytes }: Connection): Wait {
  if (phase === 'answered') return 'close';
  const last = waiting.at(-1);
  if (last) return last.request.complete ? 'answer' : 'rest-of-body';
  return socket.bytesRead > idleAtBytes ? 'rest-of-head' : 'request';
}
