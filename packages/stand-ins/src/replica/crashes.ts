/** Crashes of an upstream: its connections break, nothing listens for a time, then it is back. */
import type * as http from 'node:http';
import type * as net from 'node:net';

import type * as replica from './replica.js';

export type Crasher = {
  isDeadly(received: replica.ReceivedRequest): boolean;
  setDeadlyPart(part: string, downMs: number): void;
  setDeadlyBody(body: string, downMs: number): void;
  onRestart(listener: (startedAtMs: number) => Promise<void>): void;
  crash(): void;
  count(): number;
  close(): Promise<void>;
};

export function create(server: http.Server): Crasher {
  const state = {
    part: undefined as string | undefined,
    body: undefined as string | undefined,
    downMs: 0,
    count: 0,
    isClosed: false,
    port: 0,
    timer: undefined as NodeJS.Timeout | undefined,
  };
  const listeners: ((startedAtMs: number) => Promise<void>)[] = [];

  function restart(): void {
    if (state.isClosed) return;
    server.listen(state.port, '127.0.0.1', () =>
      listeners.forEach((listener) => listener(Date.now())),
    );
  }

  return {
    isDeadly: ({ headers, body }) => {
      if (body === state.body) return true;
      const parts = String(headers['x-medlarweir-prompt-prefix'] ?? '').split(',');
      return parts.some((each) => each.split(':')[0] === state.part);
    },
    setDeadlyPart: (part, downMs) => Object.assign(state, { part, downMs }),
    setDeadlyBody: (body, downMs) => Object.assign(state, { body, downMs }),
    onRestart: (listener) => listeners.push(listener),
    crash() {
      if (!server.listening) return;
      state.port = (server.address() as net.AddressInfo).port;
      state.count += 1;
      server.close();
      server.closeAllConnections();
      state.timer = setTimeout(restart, state.downMs);
    },
    count: () => state.count,
    close: () =>
      new Promise((resolve) => {
        state.isClosed = true;
        clearTimeout(state.timer);
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
