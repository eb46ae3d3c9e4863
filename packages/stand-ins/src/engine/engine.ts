/**
 * A stand-in for a model engine: continuous batching slots, a limited prefix cache, prefill and
 * decode rates, resumption, cancellation, import and export of context, reports, and fenced orders.
 */
import * as serve from '../http/serve.js';
import * as context from './context.js';
import * as transfers from './transfers.js';
import * as prefill from './prefill.js';
import * as reports from './reports.js';
import * as runs from './runs.js';

export type Options = {
  slots: number;
  cachePieces: number;
  prefillTokensPerS: number;
  decodeMsPerToken: number;
  weightVersion: string;
  checksFencing: boolean;
  /** Number of concurrent requests that the engine can run while cold. */
  coldSlots: number;
  /** Time after start for which the engine is cold. */
  coldMs: number;
  loadReportMs: number;
  /** Time to load new weights. */
  loadWeightsMs: number;
};

export const DEFAULTS: Options = {
  slots: 8,
  cachePieces: 64,
  prefillTokensPerS: 100_000,
  decodeMsPerToken: 2,
  weightVersion: 'v1',
  checksFencing: true,
  coldSlots: 2,
  coldMs: 0,
  loadReportMs: 200,
  loadWeightsMs: 400,
};

/** Token counts of one run, for tests and measurements. */
export type RunRecord = {
  runId: string;
  promptTokens: number;
  reusedTokens: number;
  importedTokens: number;
  computedTokens: number;
  isCancelled: boolean;
};

export type Stats = {
  records: readonly RunRecord[];
  /** Highest number of concurrent requests while cold. */
  coldPeak: number;
  /** Number of requests rejected because the cold engine was at its limit. */
  coldOverloads: number;
  refusedOrders: number;
  weightVersion: string;
};

export type Engine = serve.Server & { stats(): Stats };

export async function start(given: Partial<Options> = {}, port = 0): Promise<Engine> {
  const options = { ...DEFAULTS, ...given };
  const published = reports.create();
  const cache = context.createPrefixCache(
    options.cachePieces,
    (name) => published.publishCacheEvent('piece-cached', name),
    (name) => published.publishCacheEvent('piece-evicted', name),
  );
  const slots = runs.createSlotScheduler(options.slots);
  const open = new Map<string, runs.Run>();
  const staging = new Map<string, Map<string, Buffer>>();
  const state = {
    records: [] as RunRecord[],
    coldUntilMs: performance.now() + options.coldMs,
    coldPeak: 0,
    coldOverloads: 0,
    refusedOrders: 0,
    highestFencing: 0,
    weightVersion: options.weightVersion,
    isSilent: false,
  };
  const isCold = () => performance.now() < state.coldUntilMs;

  function reportLoad(): void {
    published.load({
      kind: 'load',
      ...slots.load(),
      temperature: isCold() ? 'cold' : 'warm',
      weightVersion: state.weightVersion,
    });
  }
  const reporter = setInterval(reportLoad, options.loadReportMs);

  async function execute(order: prefill.RunOrder, run: runs.Run): Promise<void> {
    await slots.acquire(order.priority);
    try {
      const filled = prefill.run(order, cache, staging.get(order.runId));
      staging.delete(order.runId);
      const { promptTokens, reusedTokens, importedTokens, computedTokens } = filled;
      const { runId } = order;
      const record: RunRecord = {
        runId,
        promptTokens,
        reusedTokens,
        importedTokens,
        computedTokens,
        isCancelled: false,
      };
      state.records.push(record);
      runs.publish(run, { kind: 'started', runId, promptTokens, reusedTokens, importedTokens });
      await serve.sleep((computedTokens / options.prefillTokensPerS) * 1_000);
      filled.newPieces.forEach(cache.put);
      await decode(order, run, filled.finalState);
      record.isCancelled = run.isCancelled;
    } finally {
      slots.release();
    }
  }

  async function decode(order: prefill.RunOrder, run: runs.Run, final: Buffer): Promise<void> {
    const { runId } = order;
    for (let { offset } = order; offset < order.maxTokens && !run.isCancelled; offset += 1) {
      await serve.sleep(options.decodeMsPerToken);
      runs.publish(run, { kind: 'token', runId, offset, text: context.decodeToken(final, offset) });
    }
    const finish = run.isCancelled ? 'cancelled' : 'length';
    runs.publish(run, { kind: 'ended', runId, finish, tokens: order.maxTokens });
  }

  function beginRun(body: Buffer): serve.Reply {
    const order = JSON.parse(body.toString('utf8')) as prefill.RunOrder;
    if (order.weightVersion !== state.weightVersion) {
      return serve.json(409, { error: `weights are ${state.weightVersion}` });
    }
    const { running, waiting } = slots.load();
    if (isCold()) {
      state.coldPeak = Math.max(state.coldPeak, running + waiting + 1);
      if (running + waiting >= options.coldSlots) {
        state.coldOverloads += 1;
        return serve.json(503, { error: 'cold' });
      }
    }
    const run = runs.createRun(order.runId);
    open.set(order.runId, run);
    void execute(order, run);
    return { kind: 'lines', onOpen: (lines) => runs.subscribe(run, lines, order.offset) };
  }

  function resumeRun(runId: string, query: URLSearchParams): serve.Reply {
    const run = open.get(runId);
    if (!run) return serve.json(404, { error: 'unknown run' });
    const offset = Number(query.get('offset') ?? 0);
    return { kind: 'lines', onOpen: (lines) => runs.subscribe(run, lines, offset) };
  }

  function cancelRun(runId: string): serve.Reply {
    const run = open.get(runId);
    if (run) run.isCancelled = true;
    return serve.json(run ? 200 : 404, {});
  }

  async function importPieces(body: Buffer): Promise<serve.Reply> {
    const order = JSON.parse(body.toString('utf8')) as {
      importId: string;
      storeAddress: string;
      manifests: readonly transfers.Manifest[];
    };
    const reads = await Promise.all(
      order.manifests.map((manifest) => transfers.importPiece(order.storeAddress, manifest)),
    );
    const found = reads.filter((read) => read !== undefined);
    const held = new Map(found.map(({ observation, content }) => [observation.piece, content]));
    staging.set(order.importId, held);
    return serve.json(200, { seen: found.map(({ observation }) => observation) });
  }

  async function exportPieces(body: Buffer): Promise<serve.Reply> {
    const order = JSON.parse(body.toString('utf8')) as {
      storeAddress: string;
      pieces: readonly string[];
      tier: string;
    };
    const exported: string[] = [];
    for (const name of order.pieces) {
      const content = cache.get(name);
      const isStored =
        content && (await transfers.exportPiece(order.storeAddress, { name, content }, order.tier));
      if (isStored) exported.push(name);
    }
    return serve.json(200, { exported });
  }

  async function obey(body: Buffer): Promise<serve.Reply> {
    const order = JSON.parse(body.toString('utf8')) as {
      fencing: number;
      action: { kind: string; weightVersion?: string };
    };
    if (options.checksFencing && order.fencing < state.highestFencing) {
      state.refusedOrders += 1;
      return serve.json(409, { highestFencing: state.highestFencing });
    }
    state.highestFencing = Math.max(state.highestFencing, order.fencing);
    if (order.action.kind === 'load-version' && order.action.weightVersion !== undefined) {
      await serve.sleep(options.loadWeightsMs);
      state.weightVersion = order.action.weightVersion;
    }
    reportLoad();
    return serve.json(200, {});
  }

  function control(request: serve.Request): serve.Reply {
    if (request.path[1] === 'stats') return serve.json(200, stats());
    const controls = JSON.parse(request.body.toString('utf8')) as {
      reportFaults?: reports.EventFaults;
      isSilent?: boolean;
      turnCold?: boolean;
      coldMs?: number;
      forgetRuns?: boolean;
    };
    if (controls.reportFaults) published.setFaults(controls.reportFaults);
    if (controls.isSilent !== undefined) state.isSilent = controls.isSilent;
    if (controls.coldMs !== undefined) state.coldUntilMs = performance.now() + controls.coldMs;
    if (controls.turnCold) cache.clear();
    if (controls.forgetRuns) open.clear();
    return serve.json(200, {});
  }

  function stats(): Stats {
    const { records, coldPeak, coldOverloads, refusedOrders, weightVersion } = state;
    return { records, coldPeak, coldOverloads, refusedOrders, weightVersion };
  }

  function handle(request: serve.Request): Promise<serve.Reply> | serve.Reply {
    const { method, path, query, body } = request;
    if (path[0] === 'control') return control(request);
    if (state.isSilent) return { kind: 'silent' };
    switch (`${method} ${path.slice(0, 3).join('/')}`) {
      case 'POST v1/runs':
        return beginRun(body);
      case 'POST v1/kv/import':
        return importPieces(body);
      case 'POST v1/kv/export':
        return exportPieces(body);
      case 'POST v1/orders':
        return obey(body);
      case 'GET v1/events':
        return {
          kind: 'lines',
          onOpen: (lines) => {
            published.subscribe(lines, cache.names());
            reportLoad();
          },
        };
      default:
        if (path[1] !== 'runs') return serve.json(404, { error: 'no such path' });
        return method === 'DELETE' ? cancelRun(path[2] ?? '') : resumeRun(path[2] ?? '', query);
    }
  }

  const server = await serve.listen(handle, port);
  const close = () => {
    clearInterval(reporter);
    return server.close();
  };
  return { address: server.address, close, stats };
}
