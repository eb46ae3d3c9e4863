/**
 * Guards against a faulty upstream whose bytes never end: the process that called it kept them all, and
 * the requests of others ended with it.
 */
import * as timers from 'node:timers/promises';

import type * as core from '@medlarweir/core';
import * as fixtures from '@medlarweir/core/fixtures';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as calls from '../src/calls.js';
import * as poolsOf from '../src/pools.js';
import * as runs from '../src/runs.js';
import * as services from './fixtures/services.js';

const suite = uvu.suite('upstreams: answers without end');

const CALLS = 20;
/** All bodies that are read at once, and what the system holds of each connection. */
const MAX_SENT_BYTES = 16 * 1024 * 1024 + CALLS * 4 * 1024 * 1024;
const CLOSED_WITHIN_MS = 2_000;
const POLL_INTERVAL_MS = 20;

const OK = 'HTTP/1.1 200 OK\r\n';
const CHUNK = `400\r\n${'x'.repeat(0x400)}\r\n`;
const CASES: readonly (readonly [string, string, string])[] = [
  ['a head', OK, 'x-filler: more of the same\r\n'],
  ['a body in chunks', `${OK}transfer-encoding: chunked\r\n\r\n`, CHUNK],
  ['a body without a length', `${OK}\r\n`, 'not an answer '],
];

async function closes(service: services.RawService): Promise<boolean> {
  const endsAtMs = performance.now() + CLOSED_WITHIN_MS;
  while (performance.now() < endsAtMs && service.openResponses() > 0) {
    await timers.setTimeout(POLL_INTERVAL_MS);
  }
  return service.openResponses() === 0;
}

CASES.forEach(([name, head, block]) => {
  suite(`${name} without end fails the calls, which hold little of it`, async () => {
    const service = await services.anEndlessService(head, block);
    const pools = poolsOf.create();
    const call = services.aCall({ timeoutMs: 5_000 });
    const reports = await Promise.all(
      Array.from({ length: CALLS }, () => calls.callService(pools, service.address, call)),
    );
    assert.equal([...new Set(reports.map(({ type }) => type))], ['call.failed']);
    assert.ok(await closes(service));
    assert.ok(service.sentBytes() < MAX_SENT_BYTES, `${service.sentBytes()} bytes`);
    assert.is(pools.memory.bufferedBytes, 0);
    service.close();
  });
});

suite('the answer to an order without end is no answer', async () => {
  const service = await services.anEndlessService(`${OK}\r\n`, '{');
  const action = { kind: 'set-role', role: 'both' } as const;
  const order = { orderId: 'o-1', upstream: 'u-1', fencing: 1, action };
  const report = await calls.sendOrder(poolsOf.create(), service.address, order);
  assert.is(report.type, 'order.failed');
  assert.ok(await closes(service));
  service.close();
});

const RUNS: readonly (readonly [string, string, string])[] = [
  ['lines that cannot be read', `${OK}\r\n`, 'not a line\n'],
  ['a line', `${OK}\r\n`, 'not a line '],
  ['the body of a refusal', 'HTTP/1.1 500 No\r\n\r\n', 'not an answer\n'],
];

RUNS.forEach(([name, head, block]) => {
  suite(`${name} without end fails the run and closes its connection`, async () => {
    const service = await services.anEndlessService(head, block);
    const replyTo = fixtures.aMailbox<core.messages.RunReport>();
    const stream = runs.resume(service.address, 'run-1', 0, replyTo);
    await timers.setTimeout(CLOSED_WITHIN_MS / 4);
    assert.ok(await closes(service));
    assert.equal(
      replyTo.received.map(({ type }) => type),
      ['run.failed'],
    );
    stream.close();
    service.close();
  });
});

suite.run();
