/** Hands what a socket reads to the HTTP parser in small pieces. */
import type * as net from 'node:net';

export type Options = {
  /** Whether the next bytes belong to the body of a request. */
  isInBody(): boolean;
  /** Whether the rest is dropped unparsed. */
  isDropped(): boolean;
  /** Lets the socket go on when it is its turn. */
  resumeInTurn(socket: net.Socket): void;
  /** Called with the bytes of each read buffer. */
  onRead(bytes: number): void;
  /** Called after each piece; it may pause the socket, which keeps the rest unparsed. */
  onParsed(): void;
};

/**
 * Node reads 64 KiB at once and makes all requests in it: 3,600 without headers, of 4 KB of heap each. Pieces
 * keep it to a few dozen before the socket can be paused.
 */
const PIECE_BYTES = 1_024;
const BODY_PIECE_BYTES = 8_192;
/** 64 KiB of one-byte chunks take 20 ms and more, which 400 connections would make the others wait for. */
const MAX_PARSE_MS = 1;
/** Connections that have used up their time and are read on between two reads of all others. */
const RESUMED_AT_ONCE = 8;

/** Lets a few sockets go on at a time, in the order in which they were added. */
export function createTurns(): (socket: net.Socket) => void {
  const queue: net.Socket[] = [];
  function resumeNext(): void {
    queue.splice(0, RESUMED_AT_ONCE).forEach((socket) => socket.resume());
    if (queue.length > 0) setImmediate(resumeNext);
  }
  return (socket) => {
    if (queue.length === 0) setImmediate(resumeNext);
    queue.push(socket);
  };
}

/** Takes the place of the listener by which the HTTP server reads the socket. */
export function attach(socket: net.Socket, options: Options): void {
  const parsers = socket.listeners('data') as ((chunk: Buffer) => void)[];
  const unparsed: Buffer[] = [];

  // A closed socket's parser may already be another's.
  const isOver = () => socket.destroyed || options.isDropped();

  function parse(): void {
    const endsAtMs = performance.now() + MAX_PARSE_MS;
    while (unparsed.length > 0 && !socket.isPaused() && !isOver()) {
      const chunk = unparsed.shift() ?? Buffer.alloc(0);
      const bytes = options.isInBody() ? BODY_PIECE_BYTES : PIECE_BYTES;
      if (chunk.length > bytes) unparsed.unshift(chunk.subarray(bytes));
      parsers.forEach((each) => each.call(socket, chunk.subarray(0, bytes)));
      options.onParsed();
      if (performance.now() > endsAtMs) yieldToOthers();
    }
    if (isOver()) unparsed.length = 0;
  }

  function yieldToOthers(): void {
    if (unparsed.length === 0 || socket.isPaused()) return;
    socket.pause();
    options.resumeInTurn(socket);
  }

  parsers.forEach((each) => socket.removeListener('data', each));
  socket.on('data', (chunk: Buffer) => {
    unparsed.push(chunk);
    options.onRead(chunk.length);
    parse();
  });
  socket.on('resume', parse);
}
