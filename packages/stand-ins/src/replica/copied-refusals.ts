/** Refusals that an upstream writes once more on their connection. */
import type * as http from 'node:http';
import type * as net from 'node:net';

import * as headerLines from './header-lines.js';

/**
 * When the copy is written: `before-next`, where the answer to the next request of the connection is due;
 * `split`, the same in two parts; `at-once`, in one write with the refusal; `when-idle`, a moment after it.
 */
export type Copying = 'none' | 'before-next' | 'split' | 'at-once' | 'when-idle';

const PAUSE_MS = 15;

export type Copies = {
  setCopying(copying: Copying): void;
  refuse(
    response: http.ServerResponse,
    status: number,
    headers: Readonly<Record<string, string>>,
  ): void;
  /** Writes the copies that are due before an answer on the connection, then calls `answer`. */
  beforeAnswer(socket: net.Socket, answer: () => void): void;
};

export function create(): Copies {
  const due = new WeakMap<net.Socket, string>();
  const state = { copying: 'none' as Copying };

  function refuse(
    response: http.ServerResponse,
    status: number,
    headers: Readonly<Record<string, string>>,
  ): void {
    const { socket } = response;
    const lines = headerLines.of(headers);
    const bytes = `HTTP/1.1 ${status} Refused\r\n${lines}content-length: 0\r\n\r\n`;
    switch (state.copying) {
      case 'none':
        response.writeHead(status, headers).end();
        return;
      case 'before-next':
      case 'split':
        response.writeHead(status, headers).end();
        if (socket) due.set(socket, bytes);
        return;
      case 'at-once':
        socket?.cork();
        response.writeHead(status, headers).end();
        socket?.write(bytes);
        socket?.uncork();
        return;
      case 'when-idle':
        response.writeHead(status, headers).end(() => {
          setTimeout(() => socket?.write(bytes), PAUSE_MS);
        });
        return;
      default:
        throw new Error(`unexpected copying: ${JSON.stringify(state.copying satisfies never)}`);
    }
  }

  return {
    setCopying: (copying) => {
      state.copying = copying;
    },
    refuse,
    beforeAnswer(socket, answer) {
      const bytes = due.get(socket);
      due.delete(socket);
      if (bytes === undefined) {
        answer();
        return;
      }
      const at = state.copying === 'split' ? Math.floor(bytes.length / 2) : bytes.length;
      socket.write(bytes.slice(0, at));
      setTimeout(() => {
        socket.write(bytes.slice(at));
        answer();
      }, PAUSE_MS);
    },
  };
}
