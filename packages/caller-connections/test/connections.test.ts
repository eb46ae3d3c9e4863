import * as http from 'node:http';
import * as timers from 'node:timers/promises';

import * as standIns from '@medlarweir/stand-ins';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as callerConnections from '../src/index.js';

const LIMITS: callerConnections.Limits = { headMs: 500, bodyMs: 500, idleMs: 1_500 };
const CHECK_MS = 500;
const PAST_A_LIMIT_MS = LIMITS.headMs + 3 * CHECK_MS;
const SOON_MS = 100;

type Handed = { path: string; response: http.ServerResponse; turn: callerConnections.Turn };
type Front = {
  address: string;
  handed: readonly Handed[];
  ended: readonly callerConnections.Ended[];
  connections: callerConnections.Connections;
  close(): void;
};

/** A server whose requests stay open until the test answers them. */
async function aFront(): Promise<Front> {
  const handed: Handed[] = [];
  const ended: callerConnections.Ended[] = [];
  const server = http.createServer((request, response) => {
    const turn = connections.begin(request, response);
    if (!turn) return;
    request.resume();
    request.on('end', () =>
      turn.whenFirst(() => handed.push({ path: request.url ?? '', response, turn })),
    );
  });
  const connections = callerConnections.watch(server, {
    limits: () => LIMITS,
    errorBody: { contentType: 'text/plain', text: 'no request' },
    onEnded: (each) => ended.push(each),
    maxConnections: () => 100,
    budget: () => ({ connectionBytes: 1_000_000, processBytes: 10_000_000 }),
    refuse: (response) => response.destroy(),
    onDropped: () => undefined,
    collector: { allocated: () => undefined, kept: () => undefined },
  });
  const address = await standIns.addresses.listen(server);
  const close = () => {
    connections.stop();
    connections.closeAll();
  };
  return { address, handed, ended, connections, close };
}

function aCaller({ address }: Front): Promise<standIns.patientCaller.PatientCaller> {
  return standIns.patientCaller.connect(address);
}

function aRequest(path: string, body = ''): string {
  return `POST ${path} HTTP/1.1\r\nHost: a\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

function pathsOf({ handed }: Front): readonly string[] {
  return handed.map(({ path }) => path);
}

const suite = uvu.suite('connections of callers');

/** Guards against a request that is handed on behind the answer that says that none came. */
suite('what follows the answer to a slow head is dropped, and takes no answer away', async () => {
  const front = await aFront();
  const caller = await aCaller(front);
  const text = aRequest('/slow');
  caller.socket.write(text.slice(0, 10));
  await timers.setTimeout(PAST_A_LIMIT_MS);
  caller.socket.write(text.slice(10) + aRequest('/behind'));
  await timers.setTimeout(SOON_MS);
  assert.match(caller.received(), /^HTTP\/1\.1 408 .*\r\n\r\nno request$/s);
  assert.equal([pathsOf(front), caller.end()], [[], 'end']);
  assert.equal(
    front.ended.map(({ reason, status }) => [reason, status]),
    [['slow-head', 408]],
  );
  front.close();
});

suite('an answered connection is closed though its caller keeps it', async () => {
  const front = await aFront();
  const caller = await aCaller(front);
  caller.socket.write('no request\r\n\r\n');
  await timers.setTimeout(SOON_MS);
  assert.match(caller.received(), /^HTTP\/1\.1 400 /);
  await timers.setTimeout(4 * CHECK_MS);
  caller.socket.write('more');
  await timers.setTimeout(SOON_MS);
  caller.socket.write('more');
  await timers.setTimeout(SOON_MS);
  assert.is(caller.end(), 'reset');
  front.close();
});

suite(
  'a connection may be idle for the limit of idle ones, before its first request too',
  async () => {
    const front = await aFront();
    const caller = await aCaller(front);
    await timers.setTimeout(LIMITS.headMs + 2 * CHECK_MS - SOON_MS);
    assert.is(caller.end(), 'open');
    await timers.setTimeout(LIMITS.idleMs);
    assert.equal([caller.end(), caller.received()], ['end', '']);
    front.close();
  },
);

/** Guards against a request that runs behind an answer that ends its connection. */
suite('requests of one connection are handed on one at a time', async () => {
  const front = await aFront();
  const caller = await aCaller(front);
  caller.socket.write(aRequest('/1') + aRequest('/2') + aRequest('/3'));
  await timers.setTimeout(SOON_MS);
  assert.equal(pathsOf(front), ['/1']);
  front.handed[0]?.response.end('1');
  await timers.setTimeout(SOON_MS);
  assert.equal(pathsOf(front), ['/1', '/2']);
  front.handed[1]?.response.setHeader('connection', 'close');
  front.handed[1]?.response.end('2');
  await timers.setTimeout(SOON_MS);
  assert.equal([pathsOf(front), caller.end()], [['/1', '/2'], 'end']);
  front.close();
});

/** Guards against an answer that is lost to bytes behind its request. */
suite('the request before bytes that are none is the last one, and is answered', async () => {
  const front = await aFront();
  const caller = await aCaller(front);
  caller.socket.write(`${aRequest('/1')}no request\r\n\r\n`);
  await timers.setTimeout(SOON_MS);
  const [first] = front.handed;
  assert.equal([first?.path, first?.turn.isLast()], ['/1', true]);
  first?.response.end('whole');
  await timers.setTimeout(SOON_MS);
  assert.match(caller.received(), /whole$/);
  caller.socket.write(aRequest('/2'));
  await timers.setTimeout(SOON_MS);
  assert.equal([pathsOf(front), caller.end()], [['/1'], 'end']);
  assert.equal(
    front.ended.map(({ reason, status, openRequests }) => [reason, status, openRequests]),
    [['behind-a-request', 0, 1]],
  );
  front.close();
});

suite('a body that does not come is answered with 408, and is not handed on', async () => {
  const front = await aFront();
  const caller = await aCaller(front);
  caller.socket.write(aRequest('/slow', 'body').slice(0, -1));
  await timers.setTimeout(PAST_A_LIMIT_MS);
  assert.match(caller.received(), /^HTTP\/1\.1 408 .*\r\n\r\nno request$/s);
  caller.socket.write('y');
  await timers.setTimeout(SOON_MS);
  assert.equal([pathsOf(front), caller.end()], [[], 'end']);
  front.close();
});

suite('a body that is none is answered with 400 behind the answers before it', async () => {
  const front = await aFront();
  const caller = await aCaller(front);
  const chunked = 'POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n';
  caller.socket.write(aRequest('/1') + chunked);
  await timers.setTimeout(SOON_MS);
  assert.is(caller.received(), '');
  front.handed[0]?.response.end('whole');
  await timers.setTimeout(SOON_MS);
  assert.match(caller.received(), /^HTTP\/1\.1 200 .*HTTP\/1\.1 400 .*no request$/s);
  assert.equal([pathsOf(front), caller.end()], [['/1'], 'end']);
  front.close();
});

suite('idle connections are closed, those with a request or a part of one are not', async () => {
  const front = await aFront();
  const [idle, busy, begun] = [await aCaller(front), await aCaller(front), await aCaller(front)];
  busy.socket.write(aRequest('/busy'));
  begun.socket.write('POST /begun HTTP');
  await timers.setTimeout(SOON_MS);
  front.connections.stop();
  await timers.setTimeout(SOON_MS);
  assert.equal([idle.end(), busy.end(), begun.end()], ['end', 'open', 'open']);
  front.close();
});

suite.run();
