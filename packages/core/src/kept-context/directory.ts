/**
 * Directory of where pieces are expected: in engines' memory and in stores. It is only a hint: fed
 * by events with sequence numbers, bounded, and corrected by the reuse that engines report. Updated
 * in place by the routing task, its only owner.
 */
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as naming from './naming.js';
import type * as safeRead from './safe-read.js';
import * as sequences from './sequences.js';
import * as storeIndexes from './store-index.js';

type EngineCache = {
  sequence: number;
  pieces: Set<naming.PieceName>;
  /** Runs that reused fewer pieces than predicted, since the engine's last snapshot. */
  mispredictions: number;
};

export type Directory = {
  engines: Map<string, EngineCache>;
  stores: Map<string, storeIndexes.StoreIndex>;
  /** The engines that are expected to hold a piece. */
  holders: Map<naming.PieceName, Set<string>>;
};

/** Bound of one engine's entries; its oldest entries are evicted first. */
export const MAX_PIECES_PER_ENGINE = 2_048;
/** Mispredictions after which a new snapshot is requested from the engine. */
const MAX_MISPREDICTIONS = 3;

export function create(): Directory {
  return { engines: new Map(), stores: new Map(), holders: new Map() };
}

export function applyEngineReport(
  directory: Directory,
  upstream: string,
  report: messages.EngineReport,
): sequences.ApplyResult {
  const cache = ensureEngineCache(directory, upstream);
  switch (report.kind) {
    case 'piece-cached': {
      const applied = sequences.advance(cache, report.sequence);
      if (applied !== 'stale') addHolder(directory, upstream, report.piece);
      return applied;
    }
    case 'piece-evicted': {
      const applied = sequences.advance(cache, report.sequence);
      if (applied !== 'stale') removeHolder(directory, upstream, report.piece);
      return applied;
    }
    case 'snapshot':
      [...cache.pieces].forEach((piece) => removeHolder(directory, upstream, piece));
      report.pieces.forEach((piece) => addHolder(directory, upstream, piece));
      Object.assign(cache, { sequence: report.sequence, mispredictions: 0 });
      return 'applied';
    case 'load':
    case 'silent':
      return 'applied';
    default:
      return results.assertNever(report);
  }
}

export function applyStoreReport(
  directory: Directory,
  store: string,
  report: messages.StoreReport,
): sequences.ApplyResult {
  const index = ensureStoreIndex(directory, store);
  switch (report.kind) {
    case 'committed':
      return storeIndexes.applyCommitted(index, report.sequence, report.manifest);
    case 'dropped': {
      const applied = sequences.advance(index, report.sequence);
      if (applied !== 'stale') storeIndexes.removeManifest(index, report.piece);
      return applied;
    }
    case 'snapshot':
      storeIndexes.applySnapshot(index, report);
      return 'applied';
    case 'silent':
      Object.assign(index, { isSilent: true });
      return 'applied';
    default:
      return results.assertNever(report);
  }
}

/** Removes engines and stores that are no longer configured. */
export function retain(
  directory: Directory,
  upstreams: ReadonlySet<string>,
  stores: ReadonlySet<string>,
): void {
  [...directory.engines]
    .filter(([name]) => !upstreams.has(name))
    .forEach(([name, { pieces }]) => {
      [...pieces].forEach((piece) => removeHolder(directory, name, piece));
      directory.engines.delete(name);
    });
  [...directory.stores.keys()]
    .filter((name) => !stores.has(name))
    .forEach((name) => directory.stores.delete(name));
}

function ensureEngineCache(directory: Directory, upstream: string): EngineCache {
  const found = directory.engines.get(upstream) ?? {
    sequence: 0,
    pieces: new Set(),
    mispredictions: 0,
  };
  directory.engines.set(upstream, found);
  return found;
}

export function ensureStoreIndex(directory: Directory, store: string): storeIndexes.StoreIndex {
  const found = directory.stores.get(store) ?? storeIndexes.create();
  directory.stores.set(store, found);
  return found;
}

function addHolder(directory: Directory, upstream: string, piece: naming.PieceName): void {
  const { pieces } = ensureEngineCache(directory, upstream);
  pieces.delete(piece);
  pieces.add(piece);
  const holders = directory.holders.get(piece) ?? new Set();
  holders.add(upstream);
  directory.holders.set(piece, holders);
  const [oldest] = pieces;
  const isOver = pieces.size > MAX_PIECES_PER_ENGINE;
  if (isOver && oldest !== undefined) removeHolder(directory, upstream, oldest);
}

function removeHolder(directory: Directory, upstream: string, piece: naming.PieceName): void {
  directory.engines.get(upstream)?.pieces.delete(piece);
  const holders = directory.holders.get(piece);
  holders?.delete(upstream);
  if (holders?.size === 0) directory.holders.delete(piece);
}

/** Returns how many pieces, counted from the first, the engine is expected to hold. */
export function countCachedPrefix(
  directory: Directory,
  upstream: string,
  pieces: readonly naming.PieceName[],
): number {
  const cache = directory.engines.get(upstream);
  const firstMissing = pieces.findIndex((piece) => !cache?.pieces.has(piece));
  return firstMissing === -1 ? pieces.length : firstMissing;
}

/** Returns up to `most` engines that are expected to hold the prompt, longest prefix first. */
export function longestHolders(
  directory: Directory,
  pieces: readonly naming.PieceName[],
  most: number,
): ReadonlySet<string> {
  const found = new Set<string>();
  for (let at = pieces.length - 1; at >= 0; at -= 1) {
    for (const upstream of directory.holders.get(pieces[at] ?? '') ?? []) {
      if (found.size >= most) return found;
      found.add(upstream);
    }
  }
  return found;
}

/** Returns the committed pieces in one store from position `from` up to the first gap. */
export function findStoredRun(
  directory: Directory,
  store: string,
  pieces: readonly naming.PieceName[],
  from: number,
): readonly safeRead.Manifest[] {
  const index = directory.stores.get(store);
  if (!index || index.isSilent) return [];
  const found: safeRead.Manifest[] = [];
  for (let at = from; at < pieces.length; at += 1) {
    const manifest = index.manifests.get(pieces[at] ?? '');
    if (!manifest) break;
    found.push(manifest);
  }
  return found;
}

/**
 * Applies the reuse that the engine reported for a completed run. The run leaves all its pieces in
 * the engine's memory. Reuse below the prediction counts as a misprediction; after a few of them,
 * the result is `gap`, on which the caller requests a new snapshot.
 */
export function applyReuse(
  directory: Directory,
  upstream: string,
  pieces: readonly naming.PieceName[],
  predictedPieces: number,
  reusedPieces: number,
): sequences.ApplyResult {
  const cache = ensureEngineCache(directory, upstream);
  pieces.forEach((piece) => addHolder(directory, upstream, piece));
  if (reusedPieces >= predictedPieces) return 'applied';
  cache.mispredictions += 1;
  if (cache.mispredictions < MAX_MISPREDICTIONS) return 'applied';
  cache.mispredictions = 0;
  return 'gap';
}

/** Whether a store that is not silent holds the piece. */
export function isStored(directory: Directory, piece: naming.PieceName): boolean {
  for (const index of directory.stores.values()) {
    if (!index.isSilent && index.manifests.has(piece)) return true;
  }
  return false;
}
