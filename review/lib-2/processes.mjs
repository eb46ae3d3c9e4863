/* eslint-disable no-await-in-loop, no-use-before-define, no-void, n/no-process-exit, @stylistic/max-len, @stylistic/implicit-arrow-linebreak, @stylistic/function-paren-newline -- a script that runs step by step, formatted by Prettier */
/** Starts the programs of a case as processes, records what happens, and ends every process that it started. */
import childProcess from 'node:child_process';
import fs from 'node:fs/promises';
import http from 'node:http';
import net from 'node:net';
import path from 'node:path';
import readline from 'node:readline';
import timers from 'node:timers/promises';
import url from 'node:url';

export const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..');
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

const startedAt = performance.now();
const children = new Set();
const lines = [];

/** Adds a line to the record of the case. */
export function record(text) {
  const line = `${((performance.now() - startedAt) / 1_000).toFixed(3)} ${text}`;
  lines.push(line);
}

function endAll() {
  children.forEach((child) => child.kill('SIGKILL'));
}

/** Runs a case; it returns what breaks the rule, a line each. Exits with 0, 1, or 2 if it could not run. */
export async function runCase(directory, play) {
  const limit = setTimeout(() => void finish(2, 'the case took too long'), 110_000);
  limit.unref();
  async function finish(code, text) {
    record(text);
    endAll();
    await fs.writeFile(path.join(directory, 'record.txt'), `${lines.join('\n')}\n`);
    process.stdout.write(`${text}\n`);
    process.exit(code);
  }
  process.on('SIGTERM', () => void finish(2, 'stopped'));
  process.on('SIGINT', () => void finish(2, 'stopped'));
  process.on('uncaughtException', (error) => void finish(2, `could not run: ${error.stack}`));
  try {
    const broken = await play();
    broken.forEach((text) => record(`BROKEN ${text}`));
    if (broken.length > 0) await finish(1, `rule broken: ${broken[0]}`);
    else await finish(0, 'rule held');
  } catch (error) {
    await finish(2, `could not run: ${error.stack}`);
  }
}

/** Starts a process; `onLine` gets each line that it prints. */
export function spawn(name, args, onLine = () => undefined) {
  const child = childProcess.spawn(process.execPath, args, {
    cwd: ROOT,
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { PATH: process.env.PATH ?? '', HOME: process.env.HOME ?? '' },
  });
  children.add(child);
  const exited = new Promise((resolve) => {
    child.on('exit', (code, signal) => {
      children.delete(child);
      record(`${name} ended: code ${code}, signal ${signal}`);
      resolve({ code, signal });
    });
  });
  readline.createInterface({ input: child.stdout }).on('line', onLine);
  readline
    .createInterface({ input: child.stderr })
    .on('line', (line) => record(`${name} stderr: ${line}`));
  return { child, exited };
}

/** A free TCP port of an address. */
export function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.on('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Starts a stand-in and resolves with its address once it has printed it. */
export async function standIn(name, args, onLine = () => undefined) {
  let listening = () => undefined;
  const ready = new Promise((resolve) => {
    listening = resolve;
  });
  const started = spawn(name, args, (text) => {
    const message = JSON.parse(text);
    if (message.listening) listening(message.listening);
    else onLine(message);
  });
  const address = await Promise.race([
    ready,
    timers.setTimeout(10_000).then(() => Promise.reject(new Error(`${name} does not listen`))),
  ]);
  record(`${name} listens at ${address}`);
  return { ...started, address };
}

/** The project's stand-in for the platform's store. */
export function startStore() {
  return standIn('store', [path.join(ROOT, 'packages/stand-ins/dist/main.js'), 'platform']);
}

/** The same in a process that can keep a copy and come back from it. */
export async function startDrillStore() {
  const control = {};
  const program = path.join(ROOT, 'review/lib-2/drill-store.mjs');
  const started = await standIn('store', [program], (message) => Object.assign(control, message));
  const tell = (what) => {
    record(`store: ${what}`);
    return call(control.control, 'POST', `/${what}`);
  };
  return { ...started, copy: () => tell('copy'), restore: () => tell('restore') };
}

/** The replica of this review, with the options of `replica.mjs`; `ran` collects what it received. */
export async function startReplica(options) {
  const seen = [];
  const listeners = [];
  const program = path.join(ROOT, 'review/lib-2/replica.mjs');
  const started = await standIn(options.id, [program, JSON.stringify(options)], (message) => {
    seen.push({ ...message, at: performance.now() });
    listeners.forEach((listener) => listener(message));
    record(`${options.id}: ${JSON.stringify(message)}`);
  });
  return {
    ...started,
    ...options,
    seen,
    onMessage: (listener) => listeners.push(listener),
  };
}

/** One HTTP call; resolves with status, headers and body. */
export function call(address, method, target, { headers = {}, body } = {}) {
  const [host, port] = address.split(':');
  return new Promise((resolve, reject) => {
    const request = http.request(
      {
        host,
        port,
        method,
        path: target,
        headers,
        agent: false,
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', reject);
        response.on('end', () =>
          resolve({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks),
          }),
        );
      },
    );
    request.on('error', reject);
    request.end(body);
  });
}

/** Writes an object into the store as its operator or a replica does. */
export async function put(store, kind, name, spec) {
  const body = JSON.stringify({ metadata: { name }, spec });
  const options = { headers: { 'content-type': 'application/json' }, body };
  const created = await call(store, 'POST', `/-/objects/${kind}`, options);
  if (created.status === 409) await call(store, 'PUT', `/-/objects/${kind}/${name}`, options);
  record(`store acknowledged ${kind}/${name} ${JSON.stringify(spec).slice(0, 300)}`);
}

export async function remove(store, kind, name) {
  await call(store, 'DELETE', `/-/objects/${kind}/${name}`);
  record(`store acknowledged the removal of ${kind}/${name}`);
}

export function setStoreFault(store, fault) {
  record(`store: ${fault}`);
  return call(store, 'POST', '/control/fault', { body: JSON.stringify({ fault }) });
}

/** The settings of a process, as on the sheet of a small deployment. */
export const SETTINGS = {
  bootstrap: true,
  limits: {
    cpuShare: 0.675,
    cores: 1,
    memoryMb: 350,
    maxFds: 4100,
    linkMbps: 1000,
    diskMb: 0,
  },
  contracts: [
    ...['base', 'drain', 'config', 'cost', 'retry', 'recover', 'kvcache', 'stream', 'engine'],
    ...['tenants', 'places', 'platform'],
  ],
  bounds: {
    contactMs: 3000,
    drainMs: 2000,
    graceS: 8,
    configMs: 2000,
    revokeMs: 5000,
    retryBudgetRatio: 0.2,
    budgetWindowS: 10,
    budgetExtra: 54,
    coldOverrun: 1.5,
    coldSlack: 5,
    evacuateMs: 5000,
    leaseMs: 3000,
    versionMs: 8000,
  },
};

/** The command of the deploy file; a flag whose field is not known here is left out. */
async function commandOf(settings) {
  const file = await fs.readFile(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run = ''] = /^run = "(.*)"$/m.exec(file) ?? [];
  const words = run.split(/ (?![^{]*\}\})/).slice(1);
  const fill = (word) => {
    let isKnown = true;
    const text = word.replace(/\{\{([^}]+)\}\}/g, (_, name) => {
      const value = name.split('.').reduce((found, key) => found?.[key], settings);
      if (value === undefined) isKnown = false;
      return Array.isArray(value) ? value.join(',') : String(value);
    });
    return isKnown ? text : undefined;
  };
  const args = [];
  for (let at = 0; at < words.length; at += 1) {
    const word = words[at];
    const next = words[at + 1];
    if (word.startsWith('--') && !word.includes('=') && next?.includes('{{')) {
      const value = fill(next);
      if (value !== undefined) args.push(word, value);
      at += 1;
    } else {
      const value = fill(word);
      if (value !== undefined) args.push(value);
    }
  }
  return args;
}

/** Loopback addresses of this run, so that several may run beside each other. */
const NET = `127.${100 + (process.pid % 100)}.${1 + (Math.floor(process.pid / 100) % 250)}`;

/** Starts an instance with the command of the deploy file, and waits until it says that it is ready. */
/** `again`: an instance that ended, which is started again at its addresses. */
export async function startInstance(
  name,
  number,
  store,
  { zone = 'covilha', limits = {}, again } = {},
) {
  const ip = `${NET}.${number}`;
  const front = again?.front ?? `${ip}:${await freePort(ip)}`;
  const readiness = again?.readiness ?? `${ip}:${await freePort(ip)}`;
  const settings = {
    ...SETTINGS,
    bootstrap: again === undefined,
    limits: { ...SETTINGS.limits, ...limits },
    node: name,
    zone,
    ip,
    listen: { front, readiness },
    portRange: [await freePort(ip)],
    provider: { address: store },
  };
  const journal = [];
  const args = await commandOf(settings);
  record(`${name} starts: node ${args.join(' ')}`);
  const started = spawn(name, args, (line) => {
    journal.push(line);
  });
  const deadline = performance.now() + 20_000;
  for (;;) {
    const isReady = await call(readiness, 'GET', '/-/ready').then(
      ({ status }) => status === 200,
      () => false,
    );
    if (isReady) break;
    if (performance.now() > deadline) throw new Error(`${name} does not get ready`);
    await timers.setTimeout(100);
  }
  record(`${name} is ready`);
  return {
    ...started,
    name,
    front,
    readiness,
    journal,
  };
}

export const sleep = (ms) => timers.setTimeout(ms);
