/** The end-to-end scenario, with a printed line per step; every figure is read from the stand-ins. */
import * as crypto from 'node:crypto';
import * as timers from 'node:timers/promises';

import type * as standIns from '@medlarweir/stand-ins';
import * as undici from 'undici';

import * as callerClient from './caller-client.js';
import * as clusters from './cluster.js';

export type Figures = {
  answersWhole: boolean;
  firstRecomputedShare: number;
  returnRecomputedShare: number;
  otherAccountReuse: number;
  bookingRuns: number;
  configGeneration: number;
};

const PIECE_BYTES = 8_000;
const PROMPT_PIECES = 6;
const MAX_TOKENS = 24;
const POLL_MS = 50;
const WAIT_TIMEOUT_MS = 15_000;

export type Print = (line: string) => void;

export async function run(cluster: clusters.Cluster, say: Print): Promise<Figures> {
  const { story } = cluster.deployment;
  const [first, second] = cluster.instances;
  if (!first || !second) throw new Error('the scenario needs two instances');
  say(
    `configuration generation ${cluster.generation} is in force at ${first.name}, ${second.name}`,
  );
  const prompt = buildPrompt(story.opening);
  const completion = { model: story.promptService, prompt, max_tokens: MAX_TOKENS };
  const expected = await computeReferenceText(cluster, prompt);

  const initial = await callerClient.streamCompletion(first.callers, story.account, completion);
  const firstRecord = await findRecord(cluster, initial.requestId);
  say(
    `${story.promptService} through ${first.name} (${first.dataCentre}): ${describeReuse(firstRecord)}`,
  );

  await waitForExport(cluster);
  say('the context of the prompt was exported to a store');
  await evictFromEngines(cluster);
  await waitForStoreReports(second);
  say('the context was evicted from every engine');

  const returned = await callerClient.streamCompletion(second.callers, story.account, completion);
  const returnRecord = await findRecord(cluster, returned.requestId);
  say(
    `the same prompt through ${second.name} (${second.dataCentre}): ${describeReuse(returnRecord)}`,
  );

  const other = await callerClient.streamCompletion(second.callers, story.otherAccount, completion);
  const otherRecord = await findRecord(cluster, other.requestId);
  say(`the same prompt from client account ${story.otherAccount}: ${describeReuse(otherRecord)}`);

  const bookingRuns = await bookTwice(cluster, say);
  const answers = [initial, returned, other];
  const answersWhole = answers.every(({ isComplete, text }) => isComplete && text === expected);
  say(`every caller received the complete answer: ${answersWhole}`);
  return {
    answersWhole,
    firstRecomputedShare: recomputedShare(firstRecord),
    returnRecomputedShare: recomputedShare(returnRecord),
    otherAccountReuse: otherRecord.reusedTokens + otherRecord.importedTokens,
    bookingRuns,
    configGeneration: cluster.generation,
  };
}

function buildPrompt(opening: string): string {
  const bytes = PIECE_BYTES * PROMPT_PIECES + PIECE_BYTES / 4;
  const notes = Array.from({ length: bytes / 20 }, (_, at) => `${opening}Note ${at}. `).join('');
  return notes.slice(0, bytes);
}

type RunRecord = standIns.engine.RunRecord;

function recomputedShare(record: RunRecord): number {
  return Number((record.computedTokens / record.promptTokens).toFixed(4));
}

function describeReuse(record: RunRecord): string {
  const { promptTokens, reusedTokens, importedTokens, computedTokens } = record;
  return (
    `${promptTokens} tokens of context, ${reusedTokens} reused in place, ` +
    `${importedTokens} imported, ${computedTokens} computed`
  );
}

/** Returns the answer of the reference engine, which is outside the deployment, to the same prompt. */
async function computeReferenceText(cluster: clusters.Cluster, prompt: string): Promise<string> {
  const { services, story } = cluster.deployment;
  const service = services.find(({ name }) => name === story.promptService);
  const lines = await runOnEngine(
    cluster.referenceEngineAddress,
    String(service?.model),
    prompt,
    [],
  );
  return lines.map(({ text = '' }) => text).join('');
}

type Line = { text?: string };

async function runOnEngine(
  engine: string,
  model: string,
  prompt: string,
  pieces: readonly string[],
): Promise<readonly Line[]> {
  const response = await undici.request(`http://${engine}/v1/runs`, {
    method: 'POST',
    body: JSON.stringify({
      runId: crypto.randomUUID(),
      model,
      adapter: '',
      weightVersion: 'v1',
      prompt,
      pieces,
      adopted: [],
      maxTokens: MAX_TOKENS,
      priority: 'normal',
      offset: 0,
      answered: '',
    }),
  });
  const text = await response.body.text();
  return text
    .split('\n')
    .filter((line) => line !== '')
    .map((line) => JSON.parse(line) as Line);
}

async function findRecord(cluster: clusters.Cluster, requestId: string): Promise<RunRecord> {
  const stats = await Promise.all(
    cluster.addresses.engines.map((address) => clusters.readStats<standIns.engine.Stats>(address)),
  );
  const found = stats
    .flatMap(({ records }) => records)
    .filter(({ runId }) => runId.startsWith(requestId))
    .at(-1);
  if (!found) throw new Error(`no engine ran request ${requestId}`);
  return found;
}

async function waitUntil(what: string, check: () => Promise<boolean>): Promise<void> {
  const deadline = Date.now() + WAIT_TIMEOUT_MS;
  while (!(await check())) {
    if (Date.now() > deadline) throw new Error(`timed out waiting until ${what}`);
    await timers.setTimeout(POLL_MS);
  }
}

function waitForExport(cluster: clusters.Cluster): Promise<void> {
  return waitUntil('the context was exported', async () => {
    const stats = await Promise.all(
      cluster.addresses.stores.map((address) => clusters.readStats<standIns.store.Stats>(address)),
    );
    return stats.reduce((sum, { exportedPieces }) => sum + exportedPieces, 0) >= PROMPT_PIECES;
  });
}

/** Waits until an instance has received the stores' reports of the exported context. */
function waitForStoreReports(instance: clusters.Instance): Promise<void> {
  return waitUntil(
    `${instance.name} received the stores' reports of the exported context`,
    async () => {
      const { routing } = (await instance.dump()) as {
        routing: { storePieces: Record<string, number> };
      };
      return Object.values(routing.storePieces).reduce((a, b) => a + b, 0) >= PROMPT_PIECES;
    },
  );
}

/** Fills each engine's prefix cache with other context, which evicts the least recently used. */
async function evictFromEngines(cluster: clusters.Cluster): Promise<void> {
  const filler = 'x'.repeat(PIECE_BYTES * clusters.ENGINE_CACHE_PIECES);
  const names = Array.from({ length: clusters.ENGINE_CACHE_PIECES }, (_, at) => `filler-${at}`);
  await Promise.all(
    cluster.addresses.engines.map((engine) => runOnEngine(engine, 'filler', filler, names)),
  );
}

async function bookTwice(cluster: clusters.Cluster, say: Print): Promise<number> {
  const { story } = cluster.deployment;
  const [first, second] = cluster.instances;
  const body = { reference: story.effectReference };
  const path = `${story.effectService}/${story.effectPath}`;
  const book = (instance: clusters.Instance | undefined) =>
    callerClient.callService(instance?.callers ?? '', story.account, path, 'key-1', body);
  const once = await book(first);
  const again = await book(second);
  const isSame = once.text === again.text && again.isReplay;
  say(
    `${path} sent twice with one idempotency key: ${once.status}, then ${again.status}, same: ${isSame}`,
  );
  const stats = await Promise.all(
    cluster.addresses.plain.map((address) => clusters.readStats<standIns.plain.Stats>(address)),
  );
  const runs = stats.map((each) => each.runs[story.effectReference] ?? 0);
  const total = runs.reduce((a, b) => a + b, 0);
  say(`the service ran it ${total} time(s)`);
  return total;
}
