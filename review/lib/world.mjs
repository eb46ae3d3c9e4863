/* eslint-disable no-await-in-loop -- polling */
/** Starts a small deployment on loopback: the store, instances by the deploy file, upstreams. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as http from 'node:http';
import * as net from 'node:net';
import * as path from 'node:path';
import * as readline from 'node:readline';
import * as url from 'node:url';

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..');
const children = new Set();

export function sleep(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

export async function waitFor(what, condition, timeoutMs = 15_000) {
  const endsAt = Date.now() + timeoutMs;
  while (Date.now() < endsAt) {
    if (await condition()) return;
    await sleep(25);
  }
  throw new Error(`timed out: ${what}`);
}

export async function freePort(host = '127.0.0.1') {
  const server = net.createServer();
  await new Promise((resolve, reject) => {
    server.on('error', reject);
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

function spawn(args, stdio = ['ignore', 'pipe', 'inherit']) {
  const child = childProcess.spawn(process.execPath, args, { cwd: ROOT, stdio });
  children.add(child);
  child.on('exit', () => children.delete(child));
  return child;
}

/** Ends every process that was started. */
export function endAll() {
  [...children].forEach((child) => {
    child.kill('SIGCONT');
    child.kill('SIGKILL');
  });
}

process.on('exit', endAll);
['SIGTERM', 'SIGINT'].forEach((signal) => {
  process.on(signal, () => {
    endAll();
    process.kill(process.pid, 'SIGKILL');
  });
});

/** The project's stand-in for the platform's store, as a process. */
export async function startStore() {
  const child = spawn(['packages/stand-ins/dist/main.js', 'platform']);
  const lines = readline.createInterface({ input: child.stdout });
  const first = await new Promise((resolve) => {
    lines.once('line', resolve);
  });
  return JSON.parse(first).listening;
}

export function call(address, method, target, body, headers = {}, agent = false) {
  const { hostname, port } = new URL(`http://${address}`);
  return new Promise((resolve, reject) => {
    const request = http.request(
      {
        hostname,
        port,
        method,
        path: target,
        headers,
        agent,
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () => {
          const { statusCode: status, headers: answered } = response;
          resolve({ status, headers: answered, body: Buffer.concat(chunks).toString() });
        });
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}

/** Writes an object as its owner does: creates it or replaces it. */
export async function put(store, kind, name, spec) {
  const body = JSON.stringify({ metadata: { name }, spec });
  const created = await call(store, 'POST', `/-/objects/${kind}`, body);
  if (created.status === 409) await call(store, 'PUT', `/-/objects/${kind}/${name}`, body);
}

export async function remove(store, kind, name) {
  await call(store, 'DELETE', `/-/objects/${kind}/${name}`);
}

/** The bounds of the small sites' sheets. */
const BOUNDS = {
  revokeMs: 5_000,
  configMs: 2_000,
  drainMs: 2_000,
  evacuateMs: 5_000,
  versionMs: 8_000,
  leaseMs: 3_000,
  retryBudgetRatio: 0.2,
  budgetExtra: 54,
  coldOverrun: 1.5,
  coldSlack: 5,
};

/** The command of the deploy file, with its placeholders filled in. */
async function commandLine(fields) {
  const text = await fs.readFile(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)[1];
  const filled = run.replace(/\{\{([\w.]+)\}\}/g, (_, name) => {
    const value = name.split('.').reduce((at, key) => at?.[key], fields);
    if (value === undefined) throw new Error(`no value for ${name}`);
    return String(value);
  });
  return filled.split(' ').slice(1);
}

let nextHost = 2 + (process.pid % 200);

export async function ready({ readiness }) {
  try {
    return (await call(readiness, 'GET', '/-/ready')).status;
  } catch {
    return 0;
  }
}

/** Starts an instance with the command of the deploy file and waits until it is ready. */
export async function startInstance(store, name, given = {}) {
  nextHost += 1;
  const ip = `127.${10 + (process.pid % 90)}.${process.pid % 250}.${nextHost % 250}`;
  const fields = {
    node: name,
    zone: 'zone-1',
    ip,
    listen: { front: `${ip}:${await freePort(ip)}`, readiness: `${ip}:${await freePort(ip)}` },
    provider: { address: store },
    portRange: [await freePort(ip)],
    limits: { cpuShare: 0.675 },
    bounds: BOUNDS,
    ...given,
  };
  const instance = {
    name,
    ip,
    child: undefined,
    front: fields.listen.front,
    readiness: fields.listen.readiness,
    journal: [],
    exit: undefined,
  };
  instance.start = async (isFirst) => {
    const child = spawn(await commandLine({ ...fields, bootstrap: String(isFirst) }));
    Object.assign(instance, { child, exit: undefined });
    readline.createInterface({ input: child.stdout }).on('line', (line) => {
      instance.journal.push(line);
    });
    child.on('exit', (code, signal) => {
      instance.exit = { code, signal };
    });
    await waitFor(`${name} is ready`, async () => (await ready(instance)) === 200);
  };
  instance.kill = () => instance.child.kill('SIGKILL');
  await instance.start(true);
  return instance;
}

/** Keeps what happened, and writes it when the script ends. */
export function record(folder) {
  const startedAt = Date.now();
  const lines = [];
  return {
    add(text) {
      lines.push(`${((Date.now() - startedAt) / 1_000).toFixed(3)} ${text}`);
    },
    async write() {
      await fs.writeFile(path.join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    },
  };
}

/** Starts a model replica; `crash` kills its process, and `start` starts it again under its id. */
export async function startEngine(store, id, service, options = []) {
  const port = await freePort();
  const engine = {
    id,
    child: undefined,
    ran: new Set(),
    onRan: () => undefined,
  };
  engine.start = async (cold) => {
    const own = [id, service, store, String(port), String(cold)];
    const args = ['review/lib/engine.mjs', ...own, ...options];
    engine.child = spawn(args);
    const lines = readline.createInterface({ input: engine.child.stdout });
    await new Promise((resolve) => {
      lines.once('line', resolve);
    });
    lines.on('line', (line) => {
      const { ran } = JSON.parse(line);
      engine.ran.add(ran);
      engine.onRan(ran);
    });
  };
  engine.crash = () => engine.child.kill('SIGKILL');
  await engine.start(0);
  return engine;
}
