/** Sockets that are read no further for now. */
import type * as net from 'node:net';

export type Pauses = {
  pause(socket: net.Socket): void;
  /** A closed socket is resumed no more. */
  remove(socket: net.Socket): void;
  resumeAll(): void;
};

export function create(): Pauses {
  const paused = new Set<net.Socket>();
  return {
    pause(socket) {
      if (socket.isPaused()) return;
      socket.pause();
      paused.add(socket);
    },
    remove: (socket) => paused.delete(socket),
    resumeAll() {
      const resumed = [...paused];
      paused.clear();
      resumed.forEach((socket) => socket.resume());
    },
  };
}
