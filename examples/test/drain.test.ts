/**
 * Guards against streams that are cut when an instance drains: SIGTERM lets streams in flight finish,
 * a second SIGTERM stops at once.
 */
import * as crypto from 'node:crypto';
import * as http from 'node:http';

import * as examples from '@medlarweir/examples';
import * as undici from 'undici';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

const suite = uvu.suite('draining instance processes with streams in flight');

const STREAMS = 6;
const MAX_TOKENS = 400;
const EXIT_STOPPED_AT_ONCE = 3;
const DRAINING_EVENT = 102;
const STOPPED_EVENT = 103;
/** Well past the lag of the examples' balancer. */
const LATE_MS = 300;

type Stream = { firstToken: Promise<void>; isComplete: Promise<boolean> };

/** Opens a stream at an instance and reads it to its end. */
async function aStream(
  { deployment }: examples.clusters.Cluster,
  instance: examples.clusters.Instance,
): Promise<Stream> {
  const { story } = deployment;
  const response = await undici.request(`http://${instance.callers}/v1/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${examples.deployments.credentialOf(story.account)}`,
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      model: story.promptService,
      prompt: `notes ${crypto.randomUUID()}`,
      max_tokens: MAX_TOKENS,
      stream: true,
    }),
  });
  const first = { onToken: () => undefined as void };
  const firstToken = new Promise<void>((resolve) => {
    first.onToken = resolve;
  });
  return { firstToken, isComplete: readToEnd(response.body, () => first.onToken()) };
}

/** Returns whether the stream ended with `[DONE]` after every token. */
async function readToEnd(body: AsyncIterable<Buffer>, onToken: () => void): Promise<boolean> {
  const chunks: string[] = [];
  try {
    for await (const chunk of body) {
      chunks.push(chunk.toString('utf8'));
      onToken();
    }
  } catch {
    return false;
  }
  const data = chunks
    .join('')
    .split('\n')
    .filter((line) => line.startsWith('data: '));
  const tokens = data.filter((line) => line.includes('"text"') && !line.includes('"text":""'));
  return data.at(-1) === 'data: [DONE]' && tokens.length >= MAX_TOKENS;
}

type Answer = { status: number; connection: string; retryAfter: string; body: string };

/** Begins a prompt now, and sends the rest of it later. */
function aHalfPrompt(
  { deployment: { story } }: examples.clusters.Cluster,
  instance: examples.clusters.Instance,
): { finish(): Promise<Answer> } {
  const [host = '', port = ''] = instance.callers.split(':');
  const body = JSON.stringify({ model: story.promptService, prompt: 'notes', max_tokens: 1 });
  const request = http.request({
    host,
    port: Number(port),
    path: '/v1/completions',
    method: 'POST',
    headers: {
      authorization: `Bearer ${examples.deployments.credentialOf(story.account)}`,
      'content-type': 'application/json',
      'content-length': body.length,
    },
  });
  request.write(body.slice(0, 1));
  const answered = new Promise<Answer>((resolve, reject) => {
    request.on('error', reject);
    request.on('response', (response) => {
      const chunks: string[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk.toString('utf8')));
      response.on('end', () => {
        const { connection = '', 'retry-after': retryAfter = '' } = response.headers;
        const { statusCode: status = 0 } = response;
        resolve({ status, connection, retryAfter, body: chunks.join('') });
      });
    });
  });
  return {
    finish() {
      request.end(body.slice(1));
      return answered;
    },
  };
}

type Fixture = {
  cluster: examples.clusters.Cluster;
  instance: examples.clusters.Instance;
  streams: readonly Stream[];
};

/** Runs a test against an example with streams in flight at its first instance. */
async function withStreams(act: (fixture: Fixture) => Promise<void>): Promise<void> {
  const deployment = await examples.deployments.load('svjetlopis');
  const cluster = await examples.clusters.start(deployment);
  try {
    const [instance] = cluster.instances;
    if (!instance) throw new Error('the example has no instance');
    const streams = await Promise.all(
      Array.from({ length: STREAMS }, () => aStream(cluster, instance)),
    );
    await Promise.all(streams.map(({ firstToken }) => firstToken));
    await act({ cluster, instance, streams });
  } finally {
    await cluster.stop();
  }
}

function waitForEvent(instance: examples.clusters.Instance, number: number) {
  return instance.process.waitForLine((line) => (line.event === number ? line : undefined));
}

suite('SIGTERM lets every stream finish, exits with 0, and new connections are refused', () =>
  withStreams(async ({ cluster, instance, streams }) => {
    instance.process.signal('SIGTERM');
    await waitForEvent(instance, DRAINING_EVENT);
    const whole = await Promise.all(streams.map((stream) => stream.isComplete));
    assert.is(whole.filter((isWhole) => isWhole).length, STREAMS);
    assert.is(await instance.process.exited, 0);
    await aStream(cluster, instance).then(
      () => assert.unreachable('a stopped instance accepted a request'),
      (error: { code?: string }) => assert.is(error.code, 'ECONNREFUSED'),
    );
  }),
);

/** Guards against requests that are taken late in the grace and may not end in it. */
suite('a prompt that is sent after the balancer’s lag is refused as not run', () =>
  withStreams(async ({ cluster, instance, streams }) => {
    const half = aHalfPrompt(cluster, instance);
    instance.process.signal('SIGTERM');
    await waitForEvent(instance, DRAINING_EVENT);
    await new Promise((resolve) => {
      setTimeout(resolve, LATE_MS);
    });
    const { status, connection, retryAfter, body } = await half.finish();
    assert.is(status, 503);
    assert.is(connection, 'close');
    assert.ok(Number(retryAfter) > 0);
    assert.match(body, '"run":"not-run"');
    const whole = await Promise.all(streams.map((stream) => stream.isComplete));
    assert.ok(whole.every((isWhole) => isWhole));
  }),
);

suite('a second SIGTERM stops at once and logs how many requests were cut', () =>
  withStreams(async ({ instance, streams }) => {
    instance.process.signal('SIGTERM');
    await waitForEvent(instance, DRAINING_EVENT);
    instance.process.signal('SIGTERM');
    const stopped = await waitForEvent(instance, STOPPED_EVENT);
    assert.is(stopped.cutRequests, STREAMS);
    assert.is(await instance.process.exited, EXIT_STOPPED_AT_ONCE);
    const whole = await Promise.all(streams.map((stream) => stream.isComplete));
    assert.is(whole.filter((isWhole) => isWhole).length, 0);
  }),
);

suite('SIGSTOP and SIGCONT while draining delay the streams and cut none', () =>
  withStreams(async ({ instance, streams }) => {
    instance.process.signal('SIGTERM');
    await waitForEvent(instance, DRAINING_EVENT);
    instance.process.signal('SIGSTOP');
    await new Promise((resolve) => {
      setTimeout(resolve, 1_500);
    });
    instance.process.signal('SIGCONT');
    const whole = await Promise.all(streams.map((stream) => stream.isComplete));
    assert.is(whole.filter((isWhole) => isWhole).length, STREAMS);
    assert.is(await instance.process.exited, 0);
  }),
);

suite.run();
