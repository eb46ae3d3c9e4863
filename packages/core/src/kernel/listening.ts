/** Opens the addresses that tasks listen on. */
import type * as net from 'node:net';

import * as address from '../settings/address.js';
import type * as plugin from './plugin.js';

type Context = Pick<plugin.TaskContext<never, never>, 'fail' | 'record'>;

/**
 * Listens on `HOST:PORT`. Without it the instance would look healthy while another process is asked in
 * its place, so the task fails. Errors of single connections are only recorded.
 */
export function listen(server: net.Server, at: string, { fail, record }: Context): void {
  const { host, port } = address.split(at);
  const onRefused = ({ message }: Error) => fail(message);
  server.once('error', onRefused);
  server.listen(port, host, () => {
    server.off('error', onRefused);
    server.on('error', ({ message }) =>
      record({ name: 'dependencyLost', details: { dependency: 'listener', reason: message } }),
    );
  });
}
