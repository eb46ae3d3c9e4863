/** The requests of one connection, which are handed on in the order in which they came. */
import type * as http from 'node:http';
import type * as net from 'node:net';

export type Turn = {
  /**
   * Calls back once every request before this one has been answered; never if this one has an answer, or
   * the connection cannot carry it any more.
   */
  whenFirst(start: () => void): void;
  /** Whether the answer to this request is the last one on the connection. */
  isLast(): boolean;
};

export type Waiting = {
  request: http.IncomingMessage;
  response: http.ServerResponse;
  start: (() => void) | undefined;
};

/** Starts the first request if it is whole and has not been started. */
export function advance(socket: net.Socket, [first]: readonly Waiting[]): void {
  const start = first?.start;
  if (!start || first.response.headersSent || !socket.writable) return;
  Object.assign(first, { start: undefined });
  start();
}
