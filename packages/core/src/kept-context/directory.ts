/**
 * Where pieces are believed to be: in engines' memory and in stores. A hint only, fed by events
 * with sequence numbers, bounded, and corrected by what engines say they reused. Updated in place
 * by the routing task, which alone owns it.
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
  /** Promised reuse that the engine did not confirm, since its last snapshot. */
  mispredictions: number;
};

export type Directory = {
  engines: Map<string, EngineCache>;
  stores: Map<string, storeIndexes.StoreIndex>;
  /** The engines that are believed to hold a piece. */
  holders: Map<naming.PieceName, Set<string>>;
};

/** Bounds of the directory; the oldest entries of the same engine or store leave first. */
export const MAX_PIECES_PER_ENGINE = 2_048;
/** Unconfirmed promises after which the hint is fetched anew. */
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

/** Forgets engines and stores that are no longer configured. */
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

/** Pieces from the first that the engine is believed to hold. */
export function countCachedPrefix(
  directory: Directory,
  upstream: string,
  pieces: readonly naming.PieceName[],
): number {
  const cache = directory.engines.get(upstream);
  const firstMissing = pieces.findIndex((piece) => !cache?.pieces.has(piece));
  return firstMissing === -1 ? pieces.length : firstMissing;
}

/** Up to `most` engines that are believed to hold the prompt, those with the longest prefix first. */
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

/** Committed pieces in one store from position `from` on, without a hole. */
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
 * The engine said how much it reused. A completed run leaves all its pieces in memory; a promise
 * that the engine did not keep counts against the hint, which is fetched anew after a few.
 */
export function applyReuse(
  directory: Directory,
  upstream: string,
  pieces: readonly naming.PieceName[],
  promisedPieces: number,
  reusedPieces: number,
): sequences.ApplyResult {
  const cache = ensureEngineCache(directory, upstream);
  pieces.forEach((piece) => addHolder(directory, upstream, piece));
  if (reusedPieces >= promisedPieces) return 'applied';
  cache.mispredictions += 1;
  if (cache.mispredictions < MAX_MISPREDICTIONS) return 'applied';
  cache.mispredictions = 0;
  return 'gap';
}

/** Whether a store that reports holds the piece. */
export function isStored(directory: Directory, piece: naming.PieceName): boolean {
  for (const index of directory.stores.values()) {
    if (!index.isSilent && index.manifests.has(piece)) return true;
  }
  return false;
}
