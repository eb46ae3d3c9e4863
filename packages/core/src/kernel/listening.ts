/** Opens the addresses that tasks listen on. */
import type * as events from 'node:events';
import type * as net from 'node:net';

import * as address from '../settings/address.js';
import type * as plugin from './plugin.js';

type Context = Pick<plugin.TaskContext<never, never>, 'fail' | 'record'>;

/**
 * Fails the task if the socket cannot listen: the instance would look healthy while another process is
 * asked in its place. Later errors are those of single connections or packets, and are only recorded.
 */
export function failUnlessListening(
  socket: events.EventEmitter,
  dependency: string,
  { fail, record }: Context,
): void {
  const onRefused = ({ message }: Error) => fail(message);
  socket.once('error', onRefused);
  socket.once('listening', () => {
    socket.off('error', onRefused);
    socket.on('error', ({ message: reason }: Error) =>
      record({ name: 'dependencyLost', details: { dependency, reason } }),
    );
  });
}

/** Listens on `HOST:PORT`. */
export function listen(server: net.Server, at: string, context: Context): void {
  const { host, port } = address.split(at);
  failUnlessListening(server, 'listener', context);
  server.listen(port, host);
}
