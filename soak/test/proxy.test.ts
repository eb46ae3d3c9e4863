import * as net from 'node:net';
import * as timers from 'node:timers/promises';

import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as proxies from '../src/proxy.js';

const suite = uvu.suite('proxy of the soak');

/** Guards against a connection that never closes, and with it a process that does not exit. */
suite('a reset right behind the end of a connection closes it', async () => {
  const server = net.createServer({ allowHalfOpen: true }, (accepted) => {
    accepted.on('error', () => undefined);
    accepted.resume();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  const socket = net.connect({ host: '127.0.0.1', port, allowHalfOpen: true });
  socket.on('error', () => undefined);
  await new Promise((resolve) => {
    socket.on('connect', resolve);
  });
  const closed = new Promise<boolean>((resolve) => {
    socket.on('close', () => resolve(true));
  });
  const isClosed = Promise.race([closed, timers.setTimeout(1_000, false, { ref: false })]);
  socket.end();
  // The system has been asked to end the connection, and has not answered yet.
  process.nextTick(() => process.nextTick(() => process.nextTick(() => proxies.reset(socket))));
  assert.ok(await isClosed);
  server.close();
});

suite.run();
