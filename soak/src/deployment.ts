/** The processes of a deployment: the platform's store, upstreams and instances. */
import * as timers from 'node:timers/promises';

import * as standIns from '@medlarweir/stand-ins';
import * as undici from 'undici';

import * as children from './children.js';
import * as proxies from './proxy.js';

export type Deployment = {
  store: children.Child;
  /** The present process of each upstream and instance, by its number. */
  upstreams: children.Child[];
  instances: children.Child[];
  proxies: readonly proxies.Proxy[];
  /** How often each request has run, by id. */
  runs: ReadonlyMap<string, number>;
  restartUpstream(at: number): Promise<void>;
  restartInstance(at: number): Promise<void>;
  /** For a time, an entry of another name has the address of the upstream. */
  misnameUpstream(at: number, forMs: number): Promise<void>;
  configure(): Promise<void>;
  end(): Promise<void>;
};

const ROUTES = [
  { name: 'safe', pathPrefix: '/safe/', routeType: 'safe', service: 'desk', attempts: 2 },
  { name: 'unsafe', pathPrefix: '/unsafe/', routeType: 'unsafe', service: 'desk', attempts: 1 },
  { name: 'stream', pathPrefix: '/stream/', routeType: 'streaming', service: 'desk', attempts: 1 },
] as const;

/** The platform drops the entry of an upstream that is silent for this long. */
const ENTRY_LAPSES_MS = 3_600;

function configuration(version: number): object {
  const defaults = { host: 'shop.example', targetLatencyMs: 400, priority: 1, gapTargetMs: 300 };
  return {
    version,
    routes: ROUTES.map((route) => ({ ...defaults, ...route, timeoutMs: 3_000 + version })),
    services: [{ name: 'desk', healthPath: '/health', maxConns: 100 }],
    tenants: [{ name: 'tenant-1', apiKeys: ['key-1'] }],
    limits: {
      maxHeaderBytes: 8_192,
      maxBodyBytes: 20_000,
      headerTimeoutMs: 2_000,
      idleTimeoutMs: 5_000,
    },
  };
}

function anEntry(address: string): object {
  return {
    service: 'desk',
    address,
    born: Date.now(),
    zone: 'dc-1',
    version: 'v1',
    slots: 32,
    state: 'ready',
    coldRemainingMs: 0,
    models: [{ name: 'model-1', version: 1, adapters: [] }],
    seq: 0,
  };
}

export async function start(counts: { instances: number; upstreams: number }): Promise<Deployment> {
  const runs = new Map<string, number>();
  const state = { version: 1, births: 0 };
  const started = await startListening('packages/stand-ins/src/main.ts', ['platform']);
  const store = started.address;

  async function write(kind: string, name: string, spec: object): Promise<void> {
    const send = async (method: 'POST' | 'PUT', path: string) => {
      const body = JSON.stringify({ metadata: { name }, spec });
      const answer = await undici.request(`http://${store}/-/objects/${kind}${path}`, {
        method,
        body,
      });
      await answer.body.dump();
      return answer.statusCode;
    };
    if ((await send('POST', '')) === 409) await send('PUT', `/${name}`);
  }

  // Addresses of upstreams are used again, also by other runs at the same time.
  const nextName = () => {
    state.births += 1;
    return `i-${process.pid}-${state.births}`;
  };

  async function remove(kind: string, name: string): Promise<void> {
    const path = `http://${store}/-/objects/${kind}/${name}`;
    await (await undici.request(path, { method: 'DELETE' })).body.dump();
  }

  async function startUpstream(): Promise<{ child: children.Child; id: string; address: string }> {
    const id = nextName();
    const { child, address } = await startListening(
      'soak/src/upstream-main.ts',
      [id],
      ({ ran }) => {
        if (typeof ran === 'string') runs.set(ran, (runs.get(ran) ?? 0) + 1);
      },
    );
    await write('servers', id, anEntry(address));
    return { child, id, address };
  }

  await write('config', 'main', configuration(state.version));
  const upstreams = await Promise.all(Array.from({ length: counts.upstreams }, startUpstream));
  const instances: Awaited<ReturnType<typeof anInstance>>[] = [];
  for (let at = 0; at < counts.instances; at += 1) {
    instances.push(await anInstance(`instance-${at + 1}`, store));
  }
  const running = await Promise.all(instances.map((each) => each.start()));
  const deployment = {
    store: started.child,
    upstreams: upstreams.map(({ child }) => child),
    instances: running,
    proxies: await Promise.all(instances.map(({ callers }) => proxies.start(callers))),
  };
  return {
    ...deployment,
    runs,
    restartUpstream: async (at) => {
      const gone = upstreams[at]?.id ?? '';
      const next = await startUpstream();
      upstreams[at] = next;
      deployment.upstreams[at] = next.child;
      await timers.setTimeout(ENTRY_LAPSES_MS);
      await remove('servers', gone);
    },
    restartInstance: async (at) => {
      const next = await instances[at]?.start();
      if (next) deployment.instances[at] = next;
    },
    misnameUpstream: async (at, forMs) => {
      const name = nextName();
      await write('servers', name, anEntry(upstreams[at]?.address ?? ''));
      await timers.setTimeout(forMs);
      await remove('servers', name);
    },
    configure: () => {
      state.version += 1;
      return write('config', 'main', configuration(state.version));
    },
    end: async () => {
      const all = [started.child, ...deployment.upstreams, ...deployment.instances];
      all.forEach((child) => child.signal('SIGKILL'));
      deployment.proxies.forEach((proxy) => proxy.close());
      await Promise.all(all.map(({ exited }) => exited));
    },
  };
}

/** Starts a program that writes where it listens. */
function startListening(
  program: string,
  args: readonly string[],
  onLine: (line: children.Line) => void = () => undefined,
): Promise<{ child: children.Child; address: string }> {
  return new Promise((resolve) => {
    const child = children.start(program, args, (line) => {
      if (typeof line.listening === 'string') resolve({ child, address: line.listening });
      else onLine(line);
    });
  });
}

const READINESS_CHANGED_EVENT = 232;

/** An instance whose processes all have the same addresses; `start` resolves once the next one is ready. */
async function anInstance(
  name: string,
  store: string,
): Promise<{ callers: string; start(): Promise<children.Child> }> {
  const { aFreeAddress } = standIns.addresses;
  const [callers, readiness] = [await aFreeAddress(), await aFreeAddress()];
  const [metrics, notes] = [await aFreeAddress(), await aFreeAddress()];
  const args = [
    ...['--name', name, '--data-centre', 'dc-1', '--platform', store],
    ...['--retry-extra', '1000', '--retry-ratio', '5'],
    ...['--callers', callers, '--readiness', readiness, '--metrics', metrics, '--notes', notes],
  ];
  const startNext = () =>
    new Promise<children.Child>((resolve) => {
      const child = children.start('platform/src/main.ts', args, ({ event, isReady }) => {
        if (event === READINESS_CHANGED_EVENT && isReady === true) resolve(child);
      });
      void child.exited.then(() => resolve(child));
    });
  return { callers, start: startNext };
}
