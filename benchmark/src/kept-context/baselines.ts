/**
 * The policies that the system is compared with. They see the models' true state without delay.
 * `recompute`: the replica with the least work for the prompt, using only its own cache.
 * `least-loaded`: the replica with the fewest requests; imports where the link's true
 * queue makes that faster.
 * `import-always`: the replica with the fewest requests; imports all that a store holds.
 */
import * as core from '@medlarweir/core';

import * as engineModel from './engine-model.js';
import * as storeModel from './store-model.js';
import type * as workload from './workload.js';
import * as worlds from './world.js';

export type Baseline = 'recompute' | 'import-always' | 'least-loaded';

export function arrive(world: worlds.World, baseline: Baseline, visit: workload.Visit): void {
  const engine = chooseEngine(world, baseline, visit);
  const { store, manifests } = choosePrefix(world, baseline, visit, engine);
  const serve = (adopted: readonly string[]) =>
    worlds.run(world, visit, engine, adopted, {
      onFirstToken: () => keep(world, baseline, visit, engine),
    });
  if (!store || manifests.length === 0) serve([]);
  else {
    store.read(manifests, (seen) =>
      serve(core.keptContext.safePrefix(manifests, seen).map(({ piece }) => piece)),
    );
  }
}

function cachedPrefix(visit: workload.Visit, engine: engineModel.EngineModel): number {
  const missing = visit.pieces.findIndex((piece) => !engine.has(piece));
  return missing === -1 ? visit.pieces.length : missing;
}

function chooseEngine(
  world: worlds.World,
  baseline: Baseline,
  visit: workload.Visit,
): engineModel.EngineModel {
  const cost = (engine: engineModel.EngineModel): number => {
    switch (baseline) {
      case 'recompute':
        return engine.requests() * visit.pieces.length - cachedPrefix(visit, engine);
      case 'import-always':
      case 'least-loaded':
        return engine.requests();
      default:
        return core.results.assertNever(baseline);
    }
  };
  return world.engines.reduce((best, each) => (cost(each) < cost(best) ? each : best));
}

type Prefix = {
  store: storeModel.StoreModel | undefined;
  manifests: readonly core.keptContext.Manifest[];
};

function choosePrefix(
  world: worlds.World,
  baseline: Baseline,
  visit: workload.Visit,
  engine: engineModel.EngineModel,
): Prefix {
  if (baseline === 'recompute') return { store: undefined, manifests: [] };
  const from = cachedPrefix(visit, engine);
  const found = world.stores
    .map((store) => ({ store, manifests: storedRun(store, visit.pieces.slice(from)) }))
    .reduce((best, each) => (each.manifests.length > best.manifests.length ? each : best));
  switch (baseline) {
    case 'import-always':
      return found;
    case 'least-loaded': {
      const prefillMs = (found.manifests.length / engineModel.PIECES_PER_S) * 1_000;
      const importMs = found.store.expectedMs(found.manifests);
      return importMs < prefillMs ? found : { store: undefined, manifests: [] };
    }
    default:
      return core.results.assertNever(baseline);
  }
}

function storedRun(store: storeModel.StoreModel, pieces: readonly string[]) {
  const manifests: core.keptContext.Manifest[] = [];
  for (const piece of pieces) {
    const manifest = store.manifestOf(piece);
    if (!manifest) break;
    manifests.push(manifest);
  }
  return manifests;
}

/** Exports every piece that no store holds, to memory while it has room, else to the disk tier. */
function keep(
  world: worlds.World,
  baseline: Baseline,
  visit: workload.Visit,
  engine: engineModel.EngineModel,
): void {
  if (baseline === 'recompute') return;
  const missing = visit.pieces.filter(
    (piece) => engine.has(piece) && !world.stores.some((store) => store.manifestOf(piece)),
  );
  const fill = (store: storeModel.StoreModel) => store.piecesIn('memory') + store.piecesIn('disk');
  const stores = world.stores.filter((store) => !store.isDead());
  const home =
    stores.find((store) => store.manifestOf(visit.pieces[0] ?? '')) ??
    stores.reduce((best, each) => (fill(each) < fill(best) ? each : best));
  const hasRoom = home.piecesIn('memory') + missing.length <= storeModel.MEMORY_PIECES;
  if (missing.length > 0) home.write(missing, hasRoom ? 'memory' : 'disk', () => undefined);
}
