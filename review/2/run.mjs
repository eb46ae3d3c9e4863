/* eslint-disable no-await-in-loop -- the steps of the case follow each other */
/** An instance is killed while it passes on streams without a length; see claim.txt. */
import * as crypto from 'node:crypto';
import * as path from 'node:path';
import * as url from 'node:url';

// eslint-disable-next-line import-x/extensions -- Node resolves no other name
import * as world from '../lib/world.mjs';

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
/** As at balizas-serra, where `node_kill` takes a share of 0.16: one. */
const INSTANCES = 7;
const REPLICAS = 6;
const EVENTS = 76;
/** `route-brief` of the sheet. */
const PER_S = 23;
const COLD_MS = 3_000;
const DOWN_MS = 3_500;
const TENANTS = ['tenant-1', 'tenant-2', 'tenant-3'];

const CONFIGURATION = {
  version: 1,
  routes: [
    {
      name: 'route-brief',
      host: 'brief.example',
      pathPrefix: '/brief/',
      routeType: 'streaming',
      resumable: true,
      service: 'models',
      attempts: 2,
      timeoutMs: 15_000,
      targetLatencyMs: 800,
      gapTargetMs: 300,
      priority: 1,
      anonymous: false,
      sticky: true,
    },
  ],
  services: [
    {
      name: 'models',
      healthPath: '/health',
      maxConns: 360,
      coldStartS: COLD_MS / 1_000,
      coldPerS: 14,
      engine: {
        slots: 64,
        kvCapacity: 95_715,
        kvTokenBytes: 163_840,
        linkMbps: 180_000,
      },
    },
  ],
  tenants: TENANTS.map((name) => ({ name, apiKeys: [`key-of-${name}`] })),
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

const record = world.record(FOLDER);
const asked = [];
const endings = new Map();
const early = [];

async function ask(instances) {
  const requestId = crypto.randomBytes(8).toString('hex');
  const instance = instances[asked.length % instances.length];
  const tenant = TENANTS[asked.length % TENANTS.length];
  const subject = `a${(100 + (asked.length % 50)).toString(16)}`;
  asked.push(requestId);
  record.add(`${requestId} sent to ${instance.name}`);
  const count = (ending) => endings.set(ending, (endings.get(ending) ?? 0) + 1);
  try {
    // Fails if the connection is reset; an answer without a length ends with its connection.
    const answer = await world.call(instance.front, 'POST', '/brief/x', 'brief', {
      host: 'brief.example',
      'x-medlarweir-request-id': requestId,
      'x-medlarweir-credential': `key-of-${tenant}`,
      'x-medlarweir-deadline-ms': '15000',
      'x-medlarweir-model': 'm0',
      'x-medlarweir-token-usage': `3992,${EVENTS}`,
      'x-medlarweir-prompt-prefix': `5c1e07a2:512,${subject}:2610,${requestId}:870`,
    });
    const events = (answer.body.match(/^id: /gm) ?? []).length;
    const isWhole = answer.status !== 200 || events === EVENTS;
    count(isWhole ? String(answer.status) : 'ended early as complete');
    const framing = answer.headers['transfer-encoding'] ?? 'none';
    record.add(`${requestId} ${answer.status}, ${events} events, framing ${framing}`);
    if (isWhole) return;
    early.push(requestId);
    record.add(`${requestId} ORDER: the stream ends as complete before its last piece`);
  } catch (error) {
    count('cut');
    record.add(`${requestId} cut: ${error.message}`);
  }
}

async function play() {
  const store = await world.startStore();
  await world.put(store, 'config', 'main', CONFIGURATION);
  const options = ['--unframed', '--events', String(EVENTS)];
  const ids = Array.from({ length: REPLICAS }, (_, at) => `i-${at}`);
  await Promise.all(ids.map((id) => world.startEngine(store, id, 'models', options)));
  const names = Array.from({ length: INSTANCES }, (_, at) => `front-${at + 1}`);
  const instances = await Promise.all(names.map((name) => world.startInstance(store, name)));
  await world.sleep(1_000);
  const traffic = setInterval(ask, 1_000 / PER_S, instances);
  for (let at = 0; at < 4; at += 1) {
    await world.sleep(5_000);
    const killed = instances[at];
    if (HAS_TROUBLE) {
      record.add(`${killed.name} is killed`);
      killed.kill();
      await world.sleep(DOWN_MS);
      await killed.start(false);
      record.add(`${killed.name} is ready again`);
    }
  }
  clearInterval(traffic);
  await world.sleep(3_000);
  const summary = [
    `${asked.length} streams`,
    `endings ${JSON.stringify(Object.fromEntries(endings))}`,
    `${early.length} ended as complete before their last piece`,
  ].join('; ');
  record.add(summary);
  process.stdout.write(`${summary}\n`);
  return early.length > 0;
}

let code = 2;
try {
  code = (await play()) ? 1 : 0;
} catch (error) {
  record.add(`the case could not run: ${error.stack}`);
  process.stdout.write(`the case could not run: ${error.message}\n`);
}
world.endAll();
await record.write();
process.exitCode = code;
