/**
 * Guards against an instance that crashes, leaks a secret or answers without an error code when
 * callers, an upstream or the platform send it invalid input.
 */
import * as core from '@medlarweir/core';
import * as undici from 'undici';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as badInput from './fixtures/bad-input.js';
import * as runningInstance from './fixtures/running-instance.js';

const suite = uvu.suite('bad input to a running instance', {} as badInput.Target);

suite.before(async (context) => {
  Object.assign(context, await badInput.aTarget());
});

suite.after((context) => context.end());

type ErrorBody = { error: { code: number; message: string; run: string; request_id: string } };

/** Checks that the process still runs and serves a valid request. */
async function expectService(context: badInput.Target): Promise<void> {
  const { status, text } = await badInput.send(context, {
    body: JSON.stringify(badInput.COMPLETION),
  });
  assert.is(status, 200, text);
}

const completion = (fields: object) => JSON.stringify({ ...badInput.COMPLETION, ...fields });

const CASES: readonly {
  fault: string;
  sent: badInput.RequestOptions;
  status: number;
  code: number;
}[] = [
  { fault: 'no credential', sent: { headers: {}, body: '{}' }, status: 401, code: 1001 },
  {
    fault: 'a wrong credential',
    sent: { headers: { authorization: 'Bearer of-nobody' }, body: '{}' },
    status: 401,
    code: 1001,
  },
  { fault: 'an unknown path', sent: { path: '/v9', body: '{}' }, status: 404, code: 1002 },
  {
    fault: 'an unknown model service',
    sent: { body: completion({ model: 'nobody' }) },
    status: 404,
    code: 1002,
  },
  {
    fault: 'a plain service as a model',
    sent: { body: completion({ model: 'dispatch' }) },
    status: 404,
    code: 1002,
  },
  {
    fault: 'an unknown plain service',
    sent: { path: '/services/nobody/log', method: 'GET' },
    status: 404,
    code: 1002,
  },
  { fault: 'a body that is not JSON', sent: { body: '{"model":' }, status: 400, code: 1003 },
  { fault: 'an empty body', sent: { body: '' }, status: 400, code: 1003 },
  { fault: 'a wrong method', sent: { method: 'GET' }, status: 400, code: 1003 },
  {
    fault: 'a prompt that is not a string',
    sent: { body: completion({ prompt: [badInput.PROMPT] }) },
    status: 400,
    code: 1003,
  },
  {
    fault: 'too many tokens',
    sent: { body: completion({ max_tokens: 1e9 }) },
    status: 400,
    code: 1003,
  },
  {
    fault: 'a key that is too long',
    sent: {
      path: '/services/dispatch/bookings',
      headers: { ...badInput.AUTHORIZED, 'idempotency-key': 'k'.repeat(300) },
      body: '{}',
    },
    status: 400,
    code: 1003,
  },
  {
    fault: 'a service without upstreams',
    sent: { path: '/services/lonely/log', method: 'GET' },
    status: 503,
    code: 2002,
  },
];

CASES.forEach(({ fault, sent, status, code }) => {
  suite(`${fault} is answered with ${status} and code ${code}`, async (context) => {
    const reply = await badInput.send(context, sent);
    assert.is(reply.status, status, reply.text);
    const { error } = JSON.parse(reply.text) as ErrorBody;
    assert.is(error.code, code);
    assert.is(error.run, 'not-run');
    assert.ok(error.message.length > 0 && error.request_id.length > 0);
    assert.not.match(reply.text, 'beta');
    badInput.expectNoSecrets(reply.text);
  });
});

suite('an oversized body is rejected with 413 before it is read to the end', async (context) => {
  const reply = await badInput.sendRaw(
    context.instance.callers,
    'POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999\r\n\r\n'.concat(
      'x'.repeat(badInput.MAX_BODY_BYTES * 2),
    ),
  );
  assert.match(reply, 'HTTP/1.1 413');
  assert.match(reply, '"code":1004');
  await expectService(context);
});

const MALFORMED: readonly { fault: string; bytes: string }[] = [
  { fault: 'not HTTP', bytes: 'so this is no HTTP\r\n\r\n' },
  { fault: 'a header without a name', bytes: 'GET / HTTP/1.1\r\n: x\r\n\r\n' },
  {
    fault: 'an invalid content-length',
    bytes: 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n',
  },
  {
    fault: 'an invalid chunk size',
    bytes: 'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n',
  },
  { fault: 'bytes of another protocol', bytes: '\u0016\u0003\u0001\u0002\u0000\u0001' },
];

MALFORMED.forEach(({ fault, bytes }) => {
  suite(`malformed HTTP (${fault}) is answered with code 1003`, async (context) => {
    const reply = await badInput.sendRaw(context.instance.callers, bytes);
    assert.match(reply, 'HTTP/1.1 400');
    assert.match(reply, '"code":1003');
    await expectService(context);
  });
});

suite('malformed JSON from an upstream is answered with 502 and an error code', async (context) => {
  const { status, text } = await badInput.send(context, { body: completion({ model: 'babble' }) });
  assert.is(status, 502, text);
  const { error } = JSON.parse(text) as ErrorBody;
  assert.ok([4002, 4004].includes(error.code), text);
  assert.is(error.run, 'unknown', 'the engine was sent the prompt: "not run" would be untrue');
  badInput.expectNoSecrets(text);
  await expectService(context);
});

const REFUSED_EVENT = 202;
const ADOPTED_EVENT = 201;

suite(
  'an invalid configuration is rejected and the last valid one stays in force',
  async (context) => {
    const { apply, configuration, overwrite, process, restore } = context.instance;
    const [first, ...rest] = configuration.clientAccounts;
    const invalidAccount = { ...first, stranger: 'x' };
    await overwrite({
      ...configuration,
      generation: 99,
      clientAccounts: [invalidAccount, ...rest],
    });
    await runningInstance.waitForEvent(process, REFUSED_EVENT);
    await expectService(context);
    await restore();
    await apply(configuration);
    await process.waitForLine(({ event, generation }) =>
      event === ADOPTED_EVENT && generation === 2 ? true : undefined,
    );
  },
);

suite(
  'an instance whose platform sends malformed JSON keeps running and answers 503 with code 6002',
  async () => {
    const malformedServer = await runningInstance.aMalformedServer();
    const started = runningInstance.startInstance(malformedServer.address);
    const callers = await runningInstance.waitForAddress(started, 'callers');
    await runningInstance.waitForEvent(started, core.events.catalogue.dependencyLost.number);
    const response = await undici.request(`http://${callers}/v1/completions`, { method: 'POST' });
    assert.is(response.statusCode, 503);
    assert.match(await response.body.text(), '"code":6002');
    started.signal('SIGTERM');
    assert.is(await started.exited, 0);
    await malformedServer.close();
  },
);

suite('the log of these tests contains no secret and no prompt', ({ instance }) => {
  const log = JSON.stringify(instance.process.outputLines());
  assert.match(log, '"event":104');
  badInput.expectNoSecrets(log);
});

suite.run();
