/** Tells the proper end of a connection from a reset, which the runtime may report as an end. */
import type * as net from 'node:net';

const NO_BYTES = Buffer.alloc(0);

/**
 * Calls `onBreak` if the connection fails before its end or was reset, and before the HTTP client reports
 * the end: the client takes either for the end of a response without a length.
 */
export function watchBreaks(socket: net.Socket, onBreak: (error: Error) => void): void {
  socket.prependListener('error', onBreak);
  socket.prependOnceListener('end', () => {
    // The client itself destroys a connection that has ended, with an error.
    socket.off('error', onBreak);
    const error = findReset(socket);
    if (error) onBreak(error);
  });
}

/**
 * Where the last bytes and the reset are polled together, the runtime reads the bytes and reports an end.
 * A write of no bytes sends nothing, and fails at once on a connection that was reset.
 */
function findReset(socket: net.Socket): Error | undefined {
  // Behind bytes that still wait to be sent, the write would fail only after the end was reported.
  if (socket.writableLength > 0) return new Error('ended before the request was sent');
  socket.write(NO_BYTES);
  return socket.errored ?? undefined;
}
