/* eslint-disable no-await-in-loop -- the steps of the case follow each other */
/** Replicas reset answers that have no length; see claim.txt. */
import * as crypto from 'node:crypto';
import * as http from 'node:http';
import * as path from 'node:path';
import * as url from 'node:url';

// eslint-disable-next-line import-x/extensions -- Node resolves no other name
import * as plain from '../lib/plain.mjs';
// eslint-disable-next-line import-x/extensions -- Node resolves no other name
import * as world from '../lib/world.mjs';

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const REPLICAS = 4;
/** `garble` with `unframed`: half of the replicas (its default), 5 in 100 answers, for 5 s. */
const GARBLED_REPLICAS = 2;
const GARBLED_SHARE = 0.05;
const GARBLED_MS = 5_000;
const PAUSE_MS = 3_000;
const WINDOWS = 5;
/** `book-placement` and `read-log` of the sheet together. */
const PER_S = 39;
const CALLERS = 20;

const ROUTE = {
  host: 'desk.example',
  service: 'dispatch',
  timeoutMs: 800,
  targetLatencyMs: 100,
  priority: 2,
  anonymous: false,
};
const CONFIGURATION = {
  version: 1,
  routes: [
    {
      ...ROUTE,
      name: 'book',
      pathPrefix: '/book/',
      routeType: 'unsafe',
      attempts: 1,
    },
    {
      ...ROUTE,
      name: 'read',
      pathPrefix: '/read/',
      routeType: 'safe',
      attempts: 2,
    },
  ],
  services: [{ name: 'dispatch', healthPath: '/health', maxConns: 100 }],
  tenants: [{ name: 'tenant-1', apiKeys: ['key-1'] }],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
};

const record = world.record(FOLDER);
const state = { isGarbled: false, asked: 0 };
const brokenOff = new Set();
const wrong = [];
const statuses = new Map();

async function ask(instance, agent, isRead) {
  const requestId = crypto.randomBytes(8).toString('hex');
  state.asked += 1;
  try {
    const headers = {
      host: ROUTE.host,
      'x-medlarweir-request-id': requestId,
      'x-medlarweir-credential': 'key-1',
      'x-medlarweir-deadline-ms': '1500',
    };
    const [method, target] = isRead ? ['GET', '/read/x'] : ['POST', '/book/x'];
    const body = isRead ? undefined : 'book';
    const answer = await world.call(instance.front, method, target, body, headers, agent);
    statuses.set(answer.status, (statuses.get(answer.status) ?? 0) + 1);
    const isWhole = answer.body === plain.bodyOf(requestId);
    const seal = answer.headers['x-medlarweir-response-seal'];
    const ended = `${answer.status}, seal ${seal}, ${answer.body.length} B`;
    record.add(`${requestId} ${method} at ${instance.name}: ${ended}`);
    if (answer.status === 200 && !isWhole) {
      wrong.push(requestId);
      record.add(`${requestId} MIXED: a success whose body is not the replica's whole body`);
    }
  } catch (error) {
    statuses.set('cut', (statuses.get('cut') ?? 0) + 1);
    record.add(`${requestId} cut: ${error.message}`);
  }
}

async function play() {
  const store = await world.startStore();
  await world.put(store, 'config', 'main', CONFIGURATION);
  for (let at = 0; at < REPLICAS; at += 1) {
    const counts = { answers: 0 };
    const replica = await plain.start({
      id: `d-${at}`,
      isGarbled: () => {
        if (!state.isGarbled || at >= GARBLED_REPLICAS) return false;
        counts.answers += 1;
        return counts.answers % Math.round(1 / GARBLED_SHARE) === 0;
      },
      onRan: (requestId) => record.add(`${requestId} runs at d-${at}`),
      onBrokenOff: (requestId) => {
        brokenOff.add(requestId);
        record.add(`${requestId}: d-${at} resets its answer in the middle of the body`);
      },
    });
    await world.put(store, 'servers', `d-${at}`, {
      service: 'dispatch',
      address: replica.address,
      zone: 'zone-1',
      version: 'v1',
      slots: 6,
      state: 'ready',
      coldRemainingMs: 0,
      seq: 1,
      born: Date.now(),
    });
  }
  const instances = [
    await world.startInstance(store, 'front-1'),
    await world.startInstance(store, 'front-2'),
  ];
  const agents = Array.from(
    { length: CALLERS },
    () => new http.Agent({ keepAlive: true, maxSockets: 4 }),
  );
  await world.sleep(1_000);
  const traffic = setInterval(() => {
    const at = state.asked % CALLERS;
    ask(instances[at % instances.length], agents[at], state.asked % 7 < 2);
  }, 1_000 / PER_S);
  for (let at = 0; at < WINDOWS; at += 1) {
    await world.sleep(PAUSE_MS);
    state.isGarbled = HAS_TROUBLE;
    record.add('replicas begin to garble');
    await world.sleep(GARBLED_MS);
    state.isGarbled = false;
    record.add('replicas garble no longer');
  }
  clearInterval(traffic);
  await world.sleep(2_000);
  const summary = [
    `${state.asked} requests`,
    `answers ${JSON.stringify(Object.fromEntries(statuses))}`,
    `${brokenOff.size} answers reset on the way`,
    `${wrong.length} of them passed on as whole successes`,
  ].join('; ');
  record.add(summary);
  process.stdout.write(`${summary}\n`);
  return wrong.length > 0;
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
// The stand-ins of this process would keep it running.
// eslint-disable-next-line n/no-process-exit -- see above
process.exit(code);
