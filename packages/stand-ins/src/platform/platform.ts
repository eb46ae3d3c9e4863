/**
 * A stand-in for the platform: versioned objects with conditional update and watch, the lagging
 * list of instances, call counting, and faults that a test switches on.
 */
import * as events from 'node:events';

import * as serve from '../http/serve.js';
import * as objectStore from './objects.js';

/** `lost-answers`: writes take effect, but the connection is cut before the answer. */
export type Fault = 'none' | 'outage' | 'slow' | 'lost-answers';

export type ListedInstance = {
  name: string;
  dataCentre: string;
  peers: string;
  state: 'live' | 'leaving';
};

export type Calls = { reads: number; writes: number; watches: number };
export type Platform = serve.Server & { calls(): Calls };

/** Largest value, as the platform promises. */
const MAX_VALUE_BYTES = 1_000_000;
const SLOW_MS = 1_500;
const FAULTS: readonly Fault[] = ['none', 'outage', 'slow', 'lost-answers'];

export async function start(port = 0): Promise<Platform> {
  const objects = objectStore.create();
  const changes = new events.EventEmitter();
  changes.setMaxListeners(0);
  const state = {
    fault: 'none' as Fault,
    calls: { reads: 0, writes: 0, watches: 0 },
    instances: [] as readonly ListedInstance[],
    instancesRevision: 0,
  };

  /** Resolves at the next change, or after the wait. */
  function nextChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(finish, waitMs);
      function finish() {
        clearTimeout(timer);
        changes.off('change', finish);
        resolve();
      }
      changes.on('change', finish);
    });
  }

  function write(key: string, body: Buffer): serve.Reply {
    state.calls.writes += 1;
    if (body.length > MAX_VALUE_BYTES) return serve.json(413, { error: 'value too large' });
    const wish = JSON.parse(body.toString('utf8')) as objectStore.Write;
    const written = objects.write(key, wish);
    if (written.kind === 'written') changes.emit('change');
    if (state.fault === 'lost-answers') return { kind: 'cut' };
    if (written.kind === 'conflict') {
      return serve.json(409, { current: written.current ?? null });
    }
    return serve.json(200, { version: written.version });
  }

  async function watch(query: URLSearchParams): Promise<serve.Reply> {
    state.calls.watches += 1;
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after') ?? 0);
    const deadline = Date.now() + Number(query.get('waitMs') ?? 0);
    let found = objects.list(prefix, after);
    while (found.length === 0 && Date.now() < deadline && state.fault !== 'outage') {
      await nextChange(deadline - Date.now());
      found = objects.list(prefix, after);
    }
    if (state.fault === 'outage') return { kind: 'cut' };
    return serve.json(200, { revision: objects.revision(), objects: found });
  }

  async function watchInstances(query: URLSearchParams): Promise<serve.Reply> {
    state.calls.watches += 1;
    const after = Number(query.get('after') ?? 0);
    const deadline = Date.now() + Number(query.get('waitMs') ?? 0);
    while (state.instancesRevision <= after && Date.now() < deadline && state.fault !== 'outage') {
      await nextChange(deadline - Date.now());
    }
    if (state.fault === 'outage') return { kind: 'cut' };
    return serve.json(200, { revision: state.instancesRevision, instances: state.instances });
  }

  function control(request: serve.Request): serve.Reply {
    const [, what] = request.path;
    if (what === 'calls') return serve.json(200, state.calls);
    const body = JSON.parse(request.body.toString('utf8')) as {
      fault?: Fault;
      instances?: readonly ListedInstance[];
    };
    if (body.fault && FAULTS.includes(body.fault)) state.fault = body.fault;
    if (body.instances) {
      state.instances = body.instances;
      state.instancesRevision += 1;
    }
    changes.emit('change');
    return serve.json(200, {});
  }

  async function handle(request: serve.Request): Promise<serve.Reply> {
    const [scope, key] = request.path;
    if (scope === 'control') return control(request);
    if (state.fault === 'outage') return { kind: 'cut' };
    if (state.fault === 'slow') await serve.pause(SLOW_MS);
    if (scope === 'watch') return watch(request.query);
    if (scope === 'instances') return watchInstances(request.query);
    if (scope !== 'objects') return serve.json(404, { error: 'no such path' });
    if (request.method === 'PUT') return write(key ?? '', request.body);
    state.calls.reads += 1;
    if (key === undefined) {
      return serve.json(200, { objects: objects.list(request.query.get('prefix') ?? '') });
    }
    const found = objects.read(key);
    return found ? serve.json(200, found) : serve.json(404, { error: 'no such object' });
  }

  const server = await serve.listen(handle, port);
  return { ...server, calls: () => state.calls };
}
