/**
 * Guards against effects that run twice and incomplete answers when a process is paused (SIGSTOP),
 * stops responding, or is killed between sending a request and recording its result.
 */
import * as timers from 'node:timers/promises';

import type * as standIns from '@medlarweir/stand-ins';
import * as uvu from 'uvu';
import * as assert from 'uvu/assert';

import * as callerClient from '../src/caller-client.js';
import * as clusters from '../src/cluster.js';
import * as deployments from '../src/deployment.js';

type Context = { cluster: clusters.Cluster };

const suite = uvu.suite<Context>('failures of separate processes');
const ACCOUNT = 'serra-roads';
const POLL_MS = 50;
const MAX_POLLS = 200;
/** Longer than a claimed request may wait before it is sent. */
const PAUSE_MS = 6_000;
const CLAIM_TIME_MS = 300;
const COMPLETION = { model: 'briefing', prompt: 'road notes of the season', max_tokens: 600 };
const CREATED_STATUS = 201;
const IN_PROGRESS_CODE = 3001;
const CONFLICT_STATUS = 409;

suite.before(async (context) => {
  const deployment = await deployments.load('balizas');
  context.cluster = await clusters.start({
    ...deployment,
    engines: { ...deployment.engines, count: 3 },
    plain: { ...deployment.plain, count: 1 },
    stores: 1,
  });
});

suite.after(async ({ cluster }) => {
  cluster.engines.forEach((engine) => engine.signal('SIGCONT'));
  await cluster.stop();
});

function instanceAt({ instances }: clusters.Cluster, at: number): clusters.Instance {
  const found = instances[at];
  if (!found) throw new Error(`no instance ${at}`);
  return found;
}

function book(
  cluster: clusters.Cluster,
  at: number,
  key: string,
): Promise<callerClient.ServiceResponse> {
  const { callers: address } = instanceAt(cluster, at);
  return callerClient.callService(address, ACCOUNT, 'dispatch/bookings', key, { reference: key });
}

async function countRuns({ addresses }: clusters.Cluster, reference: string): Promise<number> {
  const [plain = ''] = addresses.plain;
  const stats = await clusters.readStats<standIns.plain.Stats>(plain);
  return stats.runs[reference] ?? 0;
}

function isReportedNotRun({ text }: callerClient.ServiceResponse): boolean {
  const { error } = JSON.parse(text) as { error?: { run: string } };
  return error?.run === 'not-run';
}

/** Retries while another request holds the idempotency key (409). */
async function bookUntilSettled(
  cluster: clusters.Cluster,
  at: number,
  key: string,
): Promise<callerClient.ServiceResponse> {
  let call = await book(cluster, at, key);
  for (let polls = 0; polls < MAX_POLLS && call.status === CONFLICT_STATUS; polls += 1) {
    await timers.setTimeout(POLL_MS);
    call = await book(cluster, at, key);
  }
  return call;
}

async function waitUntil(what: string, check: () => Promise<boolean>): Promise<void> {
  for (let polls = 0; polls < MAX_POLLS; polls += 1) {
    if (await check()) return;
    await timers.setTimeout(POLL_MS);
  }
  throw new Error(`timed out waiting until ${what}`);
}

function codeOf({ text }: callerClient.ServiceResponse): number {
  return (JSON.parse(text) as { error: { code: number } }).error.code;
}

/** Pauses the instance between claim and send of a booking; resolves with its response. */
async function bookDuringPause(cluster: clusters.Cluster): Promise<callerClient.ServiceResponse> {
  const { process: paused } = instanceAt(cluster, 0);
  await clusters.sendControl(cluster.platform, { fault: 'slow' });
  const first = book(cluster, 0, 'paused');
  await timers.setTimeout(CLAIM_TIME_MS);
  paused.signal('SIGSTOP');
  await clusters.sendControl(cluster.platform, { fault: 'none' });
  await timers.setTimeout(PAUSE_MS);
  paused.signal('SIGCONT');
  return first;
}

/** Streams a prompt whose engine is paused with SIGSTOP during the run. */
async function streamDuringSilence(cluster: clusters.Cluster): Promise<callerClient.Completion> {
  const streaming = callerClient.streamCompletion(
    instanceAt(cluster, 1).callers,
    ACCOUNT,
    COMPLETION,
  );
  const running = async () => {
    const stats = cluster.addresses.engines.map((address) =>
      clusters.readStats<standIns.engine.Stats>(address),
    );
    return (await Promise.all(stats)).findIndex(({ records }) => records.length > 0);
  };
  await waitUntil('an engine ran the prompt', async () => (await running()) >= 0);
  const silent = cluster.engines[await running()];
  silent?.signal('SIGSTOP');
  const answer = await streaming;
  silent?.signal('SIGCONT');
  return answer;
}

suite(
  'a booking runs once when its instance is paused, and a stream has no gap when its engine is',
  async (context) => {
    const { cluster } = context;
    const [paused, streamed] = await Promise.all([
      bookDuringPause(cluster),
      streamDuringSilence(cluster),
    ]);
    const whole = await callerClient.streamCompletion(
      instanceAt(cluster, 1).callers,
      ACCOUNT,
      COMPLETION,
    );
    const seen = [streamed, whole].map(
      ({ status, text }) => `${status}, ${text.length} characters`,
    );
    assert.ok(streamed.isComplete && whole.isComplete, seen.join('; '));
    assert.is(streamed.text, whole.text);

    const again = await bookUntilSettled(cluster, 1, 'paused');
    assert.is(again.status, 201, `${paused.text} then ${again.text}`);
    assert.is(await countRuns(cluster, 'paused'), 1);
    assert.is(isReportedNotRun(paused), !again.isReplay, `${paused.text} then ${again.text}`);
    if (paused.status === CREATED_STATUS) assert.is(paused.text, again.text);
  },
);

suite(
  'a booking whose instance is killed after sending it does not run again at another instance',
  async (context) => {
    const { cluster } = context;
    const [plain = ''] = cluster.addresses.plain;
    await clusters.sendControl(plain, { fault: 'silent-after-run' });
    const first = book(cluster, 0, 'killed').catch(() => 'cut' as const);
    await waitUntil('the booking ran', async () => (await countRuns(cluster, 'killed')) === 1);
    instanceAt(cluster, 0).process.signal('SIGKILL');
    assert.is(await first, 'cut');
    await clusters.sendControl(plain, { fault: 'none' });
    const again = await book(cluster, 1, 'killed');
    assert.is(codeOf(again), IN_PROGRESS_CODE);
    assert.is(await countRuns(cluster, 'killed'), 1);
    const other = await book(cluster, 1, 'after-the-kill');
    assert.is(other.status, 201);
  },
);

suite.run();
