/**
 * Guards against an answer without a length that was reset on the way and reached its caller as a whole
 * success.
 */
import type * as net from 'node:net';

import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as calls from '../src/calls.js';
import * as poolsOf from '../src/pools.js';
import * as fixtures from './fixtures/services.js';

const suite = uvu.suite('upstreams: answers that end with their connection');

const ROUNDS = 20;

/** The kinds of report of calls whose answers end like this right behind their bytes. */
async function reportsOf(
  connection: 'new' | 'pooled',
  end: (socket: net.Socket) => void,
): Promise<readonly string[]> {
  const service = await fixtures.aRawService((socket) =>
    socket.write('HTTP/1.1 200 OK\r\n\r\nhalf of the answer', () => end(socket)),
  );
  const pools = poolsOf.create();
  const reports = await Promise.all(
    Array.from({ length: ROUNDS }, () =>
      calls.callService(pools, service.address, fixtures.aCall({ connection })),
    ),
  );
  service.close();
  return [...new Set(reports.map(({ type }) => type))];
}

(['new', 'pooled'] as const).forEach((connection) => {
  suite(`${connection} connection: a reset behind the bytes fails the call`, async () => {
    const reports = await reportsOf(connection, (socket) => socket.resetAndDestroy());
    assert.equal(reports, ['call.failed']);
  });

  suite(`${connection} connection: a proper end completes it`, async () => {
    assert.equal(await reportsOf(connection, (socket) => socket.end()), ['call.answered']);
  });
});

suite.run();
