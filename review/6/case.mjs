/* eslint-disable import-x/extensions, no-await-in-loop, no-restricted-syntax, no-void, @stylistic/max-len, @stylistic/no-confusing-arrow, @stylistic/implicit-arrow-linebreak, @stylistic/function-paren-newline -- a script that runs step by step, formatted by Prettier */
/** The replicas of a service say that they are brittle; more clients come than they have room for. */
import path from 'node:path';
import url from 'node:url';

import * as crowd from '../lib-2/open-loop.mjs';
import * as deployment from '../lib-2/deployment.mjs';
import * as processes from '../lib-2/processes.mjs';

const DIRECTORY = path.dirname(url.fileURLToPath(import.meta.url));
/** The sheet of `reading-room-app`, as played; one machine for each zone. */
const ZONES = ['amman-jabal', 'amman-abdali', 'amman-marka'];
const REPLICAS = 4;
const REPLICA = {
  service: 'dispatch',
  slots: 6,
  queue: 24,
  workMs: 57.1,
  spread: 0.5,
};
const PER_S = 199.3;
const DEADLINE_MS = 3_079;
const TARGET_MS = 308;
/** The largest burst of a site file. */
const BURST = { x: 2.5, forMs: 6_300 };
const CONTACT_MS = 4_000;
/** What `Server-Brittle` names, and how many may wait from `CONTACT_MS` later. */
const BRITTLE = 8;
const BRITTLE_QUEUE = 4;
/** LIMIT: more falls than 2 + a tenth of the number of replicas. */
const MAX_FALLS = 2 + REPLICAS / 10;

const { record, sleep } = processes;

function configuration() {
  const whole = deployment.configuration(1);
  const routes = whole.routes.map((route) =>
    route.service === 'dispatch'
      ? { ...route, timeoutMs: DEADLINE_MS, targetLatencyMs: TARGET_MS }
      : route,
  );
  return { ...whole, routes };
}

processes.runCase(DIRECTORY, async () => {
  const store = await processes.startStore();
  const replicas = [];
  for (let at = 0; at < REPLICAS; at += 1) {
    const zone = ZONES[at % ZONES.length];
    replicas.push({ zone, ...(await processes.startReplica({ id: `i-${at + 1}`, ...REPLICA })) });
  }
  await processes.put(store.address, 'config', 'main', configuration());
  // Each start is a new incarnation, which registers itself.
  const register = (replica) => {
    const entry = deployment.entry({ ...replica, born: Date.now() }, 1);
    return processes.put(store.address, 'servers', replica.id, entry);
  };
  for (const replica of replicas) await register(replica);
  replicas.forEach((replica) => replica.onMessage(({ back }) => back && void register(replica)));
  const say = (what) =>
    Promise.all(
      replicas.map(({ address }) =>
        processes.call(address, 'POST', '/-/say', { body: JSON.stringify(what) }),
      ),
    );
  const machines = [];
  for (const [at, zone] of ZONES.entries()) {
    machines.push(
      await processes.startInstance(`front-${zone}-1`, at + 1, store.address, { zone }),
    );
  }
  // All machines are in touch from here on.
  await sleep(CONTACT_MS);
  const clients = crowd.start(machines, { perS: PER_S, deadlineMs: DEADLINE_MS });
  await sleep(3_000);
  record(`clients, before: ${clients.summary()}`);
  if (processes.HAS_TROUBLE) {
    await say({ headers: { 'server-brittle': String(BRITTLE) } });
    record(`all answers say Server-Brittle: ${BRITTLE}`);
  }
  await sleep(CONTACT_MS);
  if (processes.HAS_TROUBLE) {
    await say({ queue: BRITTLE_QUEUE, brittle: BRITTLE });
    record(`${BRITTLE_QUEUE} may wait, more than ${BRITTLE} rejections in a second are a fall`);
  }
  clients.setRate(PER_S * BURST.x);
  record(`burst: ${PER_S * BURST.x} requests a second`);
  await sleep(BURST.forMs);
  clients.setRate(PER_S);
  record('the burst ends');
  await sleep(3_000);
  await clients.stop();
  record(`clients: ${clients.summary()}`);
  const falls = replicas.flatMap(({ seen }) => seen.filter(({ fell }) => fell));
  const lost = falls.reduce((sum, { running }) => sum + running, 0);
  const rejected = replicas.map(({ seen }) => seen.filter((each) => each.rejected).length);
  const text = `${falls.length} falls of ${REPLICAS} replicas with ${lost} requests at work`;
  record(`${text}; rejected by each: ${rejected.join(', ')}`);
  return falls.length > MAX_FALLS ? [`LIMIT: ${text}, ${MAX_FALLS} are allowed`] : [];
});
