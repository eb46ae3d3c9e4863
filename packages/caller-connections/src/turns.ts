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
  /** Whether the request is still to be read and handed on; not after its connection was dropped. */
  isTaken(): boolean;
  /** Calls back once the request has been answered or its connection has ended. */
  whenOver(callback: () => void): void;
  /** Counts memory that the request holds until it has been answered. */
  hold(bytes: number): void;
  /** Counts bytes of the body and its framing as read. */
  parsed(bytes: number): void;
  /** Counts a body that is kept until the request has been answered. */
  kept(bytes: number): void;
  /** Counts the written part of the response that the caller has not read; called after each write. */
  written(): void;
};

export type Waiting = {
  request: http.IncomingMessage;
  response: http.ServerResponse;
  start: (() => void) | undefined;
  /** From then on, nothing may be said about it but by the front end. */
  isHandedOn: boolean;
  heldBytes: number;
  unreadBytes: number;
  isOver: boolean;
  onOver: (() => void)[];
};

/** Removes a request that has been answered, or whose connection has ended. */
export function remove(waiting: Waiting[], over: Waiting): void {
  const at = waiting.indexOf(over);
  if (at < 0) return;
  waiting.splice(at, 1);
  Object.assign(over, { isOver: true });
  over.onOver.forEach((callback) => callback());
}

/** Starts the first request if it is whole and has not been started. */
export function advance(socket: net.Socket, [first]: readonly Waiting[]): void {
  const start = first?.start;
  if (!start || first.response.headersSent || !socket.writable) return;
  Object.assign(first, { start: undefined, isHandedOn: true });
  start();
}
