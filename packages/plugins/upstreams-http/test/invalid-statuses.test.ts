/**
 * Guards against an answer whose status is none, or that was cut while the request was still being written,
 * and that reached its caller as a success.
 */
import type * as net from 'node:net';

import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as calls from '../src/calls.js';
import * as poolsOf from '../src/pools.js';
import * as fixtures from './fixtures/services.js';

const suite = uvu.suite('upstreams: invalid statuses and early resets');

const STATUSES = ['000', '99', '600', '999', '1000', '20', 'abc'];
const TIMEOUT_MS = 2_000;
/** More than the buffers of a connection on loopback hold. */
const UPLOAD_BYTES = 16 * 1024 * 1024;

async function reportOf(
  connection: 'new' | 'pooled',
  answer: (socket: net.Socket) => void,
  body = Buffer.alloc(0),
): Promise<string> {
  const service = await fixtures.aRawService(answer);
  const call = fixtures.aCall({ connection, body, timeoutMs: TIMEOUT_MS });
  const { type } = await calls.callService(poolsOf.create(), service.address, call);
  service.close();
  return type;
}

(['new', 'pooled'] as const).forEach((connection) => {
  STATUSES.forEach((status) => {
    suite(`${connection} connection: status ${status} fails the call`, async () => {
      const text = `HTTP/1.1 ${status} X\r\ncontent-length: 2\r\n\r\nok`;
      assert.is(await reportOf(connection, (socket) => socket.write(text)), 'call.failed');
    });
  });

  suite(`${connection} connection: a reset while the upload goes on fails the call`, async () => {
    const cut = (socket: net.Socket) => {
      socket.pause();
      socket.write('HTTP/1.1 200 OK\r\n\r\na part', () => socket.resetAndDestroy());
    };
    assert.is(await reportOf(connection, cut, Buffer.alloc(UPLOAD_BYTES)), 'call.failed');
  });
});

suite.run();
