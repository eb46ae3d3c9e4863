/* eslint-disable no-await-in-loop -- the steps of the case follow each other */
/** All instances are killed twice while a prompt part crashes replicas; see claim.txt. */
import * as crypto from 'node:crypto';
import * as path from 'node:path';
import * as url from 'node:url';

// eslint-disable-next-line import-x/extensions -- Node resolves no other name
import * as world from '../lib/world.mjs';

const FOLDER = path.dirname(url.fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== '0';
const REPLICAS = 10;
const CONTACT_MS = 3_000;
const ALLOWED = 3;
const DEADLY = 'dead01';
const DOWN_MS = 2_000;
const COLD_MS = 3_000;
const SOUND_PER_S = 13;
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
/** Arrivals at replicas of requests with the deadly part, and crashes, in ms since 1970. */
const arrivals = [];
const crashes = [];
const deadlyIds = new Set();
const state = { isOver: false };
const counts = { asked: 0, sound: 0, served: 0 };

async function ask(instances, parts) {
  const requestId = crypto.randomBytes(8).toString('hex');
  if (parts.includes(DEADLY)) deadlyIds.add(requestId);
  const instance = instances[counts.asked % instances.length];
  const tenant = TENANTS[counts.asked % TENANTS.length];
  counts.asked += 1;
  record.add(`${requestId} sent to ${instance.name} by ${tenant}, parts ${parts}`);
  try {
    const answer = await world.call(instance.front, 'POST', '/brief/x', 'brief', {
      host: 'brief.example',
      'x-medlarweir-request-id': requestId,
      'x-medlarweir-credential': `key-of-${tenant}`,
      'x-medlarweir-deadline-ms': '15000',
      'x-medlarweir-model': 'm0',
      'x-medlarweir-token-usage': '11992,20',
      'x-medlarweir-prompt-prefix': `5c1e07a2:512,${parts},${requestId}:2870`,
    });
    record.add(`${requestId} answered ${answer.status}`);
    return answer.status;
  } catch (error) {
    record.add(`${requestId} cut: ${error.message}`);
    return 0;
  }
}

async function startReplicas(store) {
  return Promise.all(
    Array.from({ length: REPLICAS }, async (_, at) => {
      const deadlyPart = HAS_TROUBLE ? ['--deadly', DEADLY] : [];
      const engine = await world.startEngine(store, `i-${at}`, 'models', deadlyPart);
      const watch = () => {
        engine.child.on('exit', () => {
          crashes.push(Date.now());
          record.add(`${engine.id} crashes`);
          setTimeout(async () => {
            if (state.isOver) return;
            await engine.start(COLD_MS);
            watch();
          }, DOWN_MS);
        });
      };
      watch();
      engine.onRan = (requestId) => {
        if (!deadlyIds.has(requestId)) return;
        arrivals.push(Date.now());
        record.add(`${requestId} with the deadly part reaches ${engine.id}`);
      };
      return engine;
    }),
  );
}

async function killAll(instances) {
  if (!HAS_TROUBLE) return;
  record.add('all instances are killed');
  instances.forEach((each) => each.kill());
  await world.sleep(300);
  await Promise.all(instances.map((each) => each.start(false)));
  record.add('all instances are ready again');
}

async function play() {
  const store = await world.startStore();
  await world.put(store, 'config', 'main', CONFIGURATION);
  await startReplicas(store);
  const instances = [
    await world.startInstance(store, 'front-1'),
    await world.startInstance(store, 'front-2'),
  ];
  await world.sleep(1_000);
  const soundTraffic = setInterval(async () => {
    counts.sound += 1;
    const subject = (100 + (counts.sound % 50)).toString(16);
    if ((await ask(instances, `a${subject}:8610`)) === 200) counts.served += 1;
  }, 1_000 / SOUND_PER_S);
  const deadly = async () => {
    await ask(instances, `${DEADLY}:600,${crypto.randomBytes(3).toString('hex')}:8000`);
    await world.sleep(500);
  };
  await world.sleep(4_000);
  await deadly();
  await deadly();
  await killAll(instances);
  await world.sleep(500);
  await deadly();
  await deadly();
  await killAll(instances);
  // In touch: the processes have run for contactMs since their start.
  await world.sleep(CONTACT_MS + 700);
  const inTouchFrom = Date.now();
  for (let at = 0; at < 6; at += 1) await deadly();
  clearInterval(soundTraffic);
  await world.sleep(1_000);
  const fifthAt = crashes[4] ?? Infinity;
  const late = arrivals.filter((at) => at >= inTouchFrom && at > fifthAt + CONTACT_MS);
  const summary = [
    `${deadlyIds.size} requests with the part beside ${counts.sound} sound ones`,
    `${counts.served} of these served`,
    `${crashes.length} crashes`,
    `later than contactMs after the fifth, sent by instances in touch: ${late.length} arrivals`,
    `allowed ${ALLOWED}`,
  ].join('; ');
  record.add(summary);
  process.stdout.write(`${summary}\n`);
  return late.length > ALLOWED;
}

let code = 2;
try {
  code = (await play()) ? 1 : 0;
} catch (error) {
  record.add(`the case could not run: ${error.stack}`);
  process.stdout.write(`the case could not run: ${error.message}\n`);
}
state.isOver = true;
world.endAll();
await record.write();
process.exitCode = code;
