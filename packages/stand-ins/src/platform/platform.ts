/**
 * A stand-in for the platform's object store: versioned objects by kind and name, watches with a
 * history that can be dropped, call counts, and faults that a test injects.
 */
import * as events from 'node:events';

import * as serve from '../http/serve.js';
import * as objectStore from './object-store.js';
import * as staleCopies from './stale-copies.js';

/**
 * `lost-answers`: writes take effect, but the connection is closed before the response. `busy`:
 * rejected with 503, without effect. `silent`: never responds. `outage`: closes the connection.
 * `slow`: responds after a delay.
 */
export type Fault = 'none' | 'outage' | 'slow' | 'lost-answers' | 'busy' | 'silent';

export type CallCounts = { reads: number; writes: number; watches: number };
export type Platform = serve.Server & {
  countCalls(): CallCounts;
  /** Keeps a copy; the function that is returned brings the store back to it. */
  copy(): () => void;
  /** Answers reads that may be stale from this long ago, without saying so; 0 ends this. */
  setStaleness(staleMs: number): void;
  /** While watches are held back, they hear of no change. */
  holdWatches(areHeld: boolean): void;
  dropHistory(): void;
};

/** The platform's limit on the size of an object. */
const MAX_OBJECT_BYTES = 1_048_576;
/** Maximum number of objects in one page of a list. */
const PAGE_SIZE = 500;
const SLOW_DELAY_MS = 1_500;
const MAX_WATCH_WAIT_MS = 30_000;
const FAULTS: readonly Fault[] = ['none', 'outage', 'slow', 'lost-answers', 'busy', 'silent'];

type WriteBody = {
  metadata?: { name?: string; revision?: number };
  spec?: unknown;
  status?: unknown;
};

export async function start(port = 0): Promise<Platform> {
  const objects = objectStore.create();
  const changes = new events.EventEmitter();
  changes.setMaxListeners(0);
  const copies = staleCopies.create();
  const state = {
    fault: 'none' as Fault,
    calls: { reads: 0, writes: 0, watches: 0 },
    staleMs: 0,
    areWatchesHeld: false,
  };

  /** Resolves at the next change, or after `waitMs`. */
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

  function change({ method, path, body, query }: serve.Request): serve.Reply {
    state.calls.writes += 1;
    if (body.length > MAX_OBJECT_BYTES) return serve.json(413, { error: 'object too large' });
    const [, , kind = '', name, part] = path;
    const given = (body.length > 0 ? JSON.parse(body.toString('utf8')) : {}) as WriteBody;
    const named = query.get('revision');
    const revision = named === null ? given.metadata?.revision : Number(named);
    const written =
      part === 'status'
        ? objects.setStatus(kind, name ?? '', given.status, revision)
        : applyWrite(method, kind, name ?? given.metadata?.name ?? '', { ...given, revision });
    if (written.kind === 'written') onWritten();
    if (state.fault === 'lost-answers') return { kind: 'cut' };
    return toReply(written);
  }

  function onWritten(): void {
    if (state.staleMs > 0) copies.keep(objects.copy(), Date.now());
    changes.emit('change');
  }

  function applyWrite(
    method: string,
    kind: string,
    name: string,
    given: WriteBody & { revision: number | undefined },
  ): objectStore.WriteResult {
    switch (method) {
      case 'POST':
        return objects.create(kind, name, given.spec);
      case 'PUT':
        return objects.replace(kind, name, given.spec, given.revision);
      case 'DELETE':
        return objects.remove(kind, name);
      default:
        throw new Error(`unexpected method ${method}`);
    }
  }

  async function watch(kind: string, query: URLSearchParams): Promise<serve.Reply> {
    state.calls.watches += 1;
    const since = Number(query.get('watch'));
    const waitMs = Math.min(MAX_WATCH_WAIT_MS, Number(query.get('waitMs') ?? 0));
    const deadline = Date.now() + waitMs;
    let found = eventsSince(kind, since);
    while (found?.length === 0 && Date.now() < deadline && state.fault !== 'outage') {
      await nextChange(deadline - Date.now());
      found = eventsSince(kind, since);
    }
    if (state.fault === 'outage') return { kind: 'cut' };
    if (!found) return serve.json(410, { error: 'this history is gone' });
    return serve.json(200, {
      events: found.map(({ object, deleted }) => ({ object: toWire(object), deleted })),
      storeRevision: state.areWatchesHeld ? since : objects.revision(),
    });
  }

  function eventsSince(kind: string, since: number) {
    return state.areWatchesHeld ? [] : objects.eventsSince(kind, since);
  }

  function list(kind: string, query: URLSearchParams): serve.Reply {
    state.calls.reads += 1;
    const isStale = query.get('allowStale') === '1' && state.staleMs > 0;
    const copy = isStale ? copies.asOf(Date.now() - state.staleMs) : undefined;
    const { objects: listed, revision } = copy ?? objects.copy();
    const found = objectStore.listFrom(listed, kind, query.get('after') ?? '');
    return serve.json(200, {
      items: found.slice(0, PAGE_SIZE).map(toWire),
      hasMore: found.length > PAGE_SIZE,
      storeRevision: revision,
    });
  }

  function control(request: serve.Request): serve.Reply {
    const [, what] = request.path;
    if (what === 'calls') return serve.json(200, state.calls);
    if (what === 'drop-history') objects.dropHistory();
    const body = JSON.parse(request.body.toString('utf8') || '{}') as { fault?: Fault };
    if (body.fault && FAULTS.includes(body.fault)) state.fault = body.fault;
    changes.emit('change');
    return serve.json(200, {});
  }

  function faultReply(): serve.Reply | undefined {
    switch (state.fault) {
      case 'outage':
        return { kind: 'cut' };
      case 'busy':
        return serve.json(503, { error: 'busy' });
      case 'silent':
        return { kind: 'silent' };
      case 'none':
      case 'slow':
      case 'lost-answers':
        return undefined;
      default:
        throw new Error(`unexpected fault: ${JSON.stringify(state.fault satisfies never)}`);
    }
  }

  async function handle(request: serve.Request): Promise<serve.Reply> {
    if (request.path[0] === 'control') return control(request);
    const faulty = faultReply();
    if (faulty) return faulty;
    if (state.fault === 'slow') await serve.sleep(SLOW_DELAY_MS);
    const [scope, collection, kind = '', name] = request.path;
    if (scope !== '-' || collection !== 'objects') {
      return serve.json(404, { error: 'no such path' });
    }
    if (request.method !== 'GET') return change(request);
    if (name === undefined) {
      return request.query.has('watch') ? watch(kind, request.query) : list(kind, request.query);
    }
    state.calls.reads += 1;
    const found = objects.read(kind, name);
    return found ? serve.json(200, toWire(found)) : serve.json(404, { error: 'no such object' });
  }

  async function handleInEra(request: serve.Request): Promise<serve.Reply> {
    const reply = await handle(request);
    const headers = { 'store-era': String(objects.era()) };
    return reply.kind === 'json' ? { ...reply, headers } : reply;
  }

  const server = await serve.listen(handleInEra, port);
  return {
    ...server,
    countCalls: () => state.calls,
    copy: () => {
      const kept = objects.copy();
      return () => {
        objects.restore(kept);
        changes.emit('change');
      };
    },
    setStaleness(staleMs) {
      copies.clear();
      copies.keep(objects.copy(), Date.now());
      state.staleMs = staleMs;
    },
    holdWatches(areHeld) {
      state.areWatchesHeld = areHeld;
      changes.emit('change');
    },
    dropHistory() {
      objects.dropHistory();
      changes.emit('change');
    },
  };
}

function toWire({ name, revision, createdRevision, spec, status }: objectStore.StoredObject) {
  return {
    metadata: { name, revision, created: createdRevision, finalizers: [], deleting: false },
    spec,
    status,
  };
}

function toReply(written: objectStore.WriteResult): serve.Reply {
  switch (written.kind) {
    case 'written':
      return serve.json(200, toWire(written.object));
    case 'conflict':
      return serve.json(409, toWire(written.current));
    case 'missing':
      return serve.json(404, { error: 'no such object' });
    default:
      throw new Error(`unexpected write result: ${JSON.stringify(written satisfies never)}`);
  }
}
