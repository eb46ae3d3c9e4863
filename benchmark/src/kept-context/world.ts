/** Models the deployment of one run: engines, stores with their links, and the measurements. */
import * as agenda from './agenda.js';
import * as engineModel from './engine-model.js';
import * as storeModel from './store-model.js';
import type * as workload from './workload.js';

/** `slow-links`: a tenth of the rate. `store-dead`: one of two stores fails halfway through. */
export type Variant = 'healthy' | 'slow-links' | 'store-dead';
export const VARIANTS: readonly Variant[] = ['healthy', 'slow-links', 'store-dead'];

export const STORES = 2;
const SLOW_SHARE = 0.1;
const STORE_DEATH_MS = 24 * 60 * 60_000;

/** Outcome of one visit. */
export type Served = {
  visit: workload.Visit;
  firstTokenMs: number;
  heldPieces: number;
};

export type World = {
  time: agenda.Agenda;
  shape: workload.Shape;
  variant: Variant;
  linkBytesPerS: number;
  engines: readonly engineModel.EngineModel[];
  stores: readonly storeModel.StoreModel[];
  served: Served[];
};

/** Receives the models' reports, each with the sender's name in the configuration. */
export type ReportListener = {
  onEngine: (upstream: string, report: Parameters<EngineReporter>[0]) => void;
  onStore: (store: string, report: Parameters<StoreReporter>[0]) => void;
};

type EngineReporter = NonNullable<Parameters<typeof engineModel.create>[1]>;
type StoreReporter = NonNullable<Parameters<typeof storeModel.create>[3]>;

export function engineName(at: number): string {
  return `engine-${at + 1}`;
}

export function storeName(at: number): string {
  return `store-${at + 1}`;
}

export function create(
  shape: workload.Shape,
  variant: Variant,
  listener: ReportListener | undefined,
): World {
  const time = agenda.create();
  const linkBytesPerS = storeModel.LINK_BYTES_PER_S * (variant === 'slow-links' ? SLOW_SHARE : 1);
  const engines = Array.from({ length: shape.engines }, (_, at) =>
    engineModel.create(time, listener && ((report) => listener.onEngine(engineName(at), report))),
  );
  const stores = Array.from({ length: STORES }, (_, at) =>
    storeModel.create(
      time,
      storeName(at),
      linkBytesPerS,
      listener && ((report) => listener.onStore(storeName(at), report)),
    ),
  );
  if (variant === 'store-dead') time.after(STORE_DEATH_MS, () => stores[0]?.die());
  return { time, shape, variant, linkBytesPerS, engines, stores, served: [] };
}

/** Runs a visit at an engine and records its time to first token, counted from arrival. */
export function run(
  world: World,
  visit: workload.Visit,
  engine: engineModel.EngineModel,
  adopted: readonly string[],
  after: {
    onFirstToken?: (reusedPieces: number, importedPieces: number) => void;
    onEnd?: (reusedPieces: number, importedPieces: number) => void;
  },
): void {
  const held = { reused: 0, imported: 0 };
  const isCheck = visit.service === world.shape.checkService;
  engine.submit({
    pieces: visit.pieces,
    adopted: new Set(adopted),
    promptTokens: visit.promptTokens,
    priority: isCheck ? 'short' : world.shape.priority,
    onFirstToken: (reused, imported) => {
      Object.assign(held, { reused, imported });
      const firstTokenMs = world.time.nowMs() - visit.atMs;
      world.served.push({ visit, firstTokenMs, heldPieces: reused + imported });
      after.onFirstToken?.(reused, imported);
    },
    onEnd: () => after.onEnd?.(held.reused, held.imported),
  });
}
