/** Hands what a socket reads to the HTTP parser in small pieces. */
import type * as net from 'node:net';

export type Options = {
  /** Whether the next bytes belong to the body of a request. */
  isInBody(): boolean;
  /** Whether the rest is dropped unparsed. */
  isDropped(): boolean;
  /** Called after each piece; it may pause the socket, which keeps the rest unparsed. */
  onParsed(): void;
};

/**
 * Node reads 64 KiB at once and makes all requests in it: 3,600 without headers, of 4 KB of heap each. Pieces
 * keep it to a few dozen before the socket can be paused.
 */
const PIECE_BYTES = 1_024;
const BODY_PIECE_BYTES = 8_192;

/** Takes the place of the listener by which the HTTP server reads the socket. */
export function attach(socket: net.Socket, options: Options): void {
  const parsers = socket.listeners('data') as ((chunk: Buffer) => void)[];
  const unparsed: Buffer[] = [];

  function parse(): void {
    while (unparsed.length > 0 && !socket.isPaused() && !options.isDropped()) {
      const chunk = unparsed.shift() ?? Buffer.alloc(0);
      const bytes = options.isInBody() ? BODY_PIECE_BYTES : PIECE_BYTES;
      if (chunk.length > bytes) unparsed.unshift(chunk.subarray(bytes));
      parsers.forEach((each) => each.call(socket, chunk.subarray(0, bytes)));
      options.onParsed();
    }
    if (options.isDropped()) unparsed.length = 0;
  }

  parsers.forEach((each) => socket.removeListener('data', each));
  socket.on('data', (chunk: Buffer) => {
    unparsed.push(chunk);
    parse();
  });
  socket.on('resume', parse);
}
