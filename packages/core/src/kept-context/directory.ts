/**
 * Where pieces are believed to be: in engines' memory and in stores. A hint only, fed by events
 * with sequence numbers. Updated in place by the routing task, which alone owns it.
 */
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import type * as naming from './naming.js';
import type * as safeRead from './safe-read.js';

type EngineCache = { sequence: number; pieces: Set<naming.PieceName> };
type StoreIndex = { sequence: number; manifests: Map<naming.PieceName, safeRead.Manifest> };

export type Directory = { engines: Map<string, EngineCache>; stores: Map<string, StoreIndex> };

/** `gap`: events were lost, and the reader should ask for a snapshot. */
export type Applied = 'applied' | 'gap' | 'stale';

export function create(): Directory {
  return { engines: new Map(), stores: new Map() };
}

function engineCache(directory: Directory, upstream: string): EngineCache {
  const found = directory.engines.get(upstream) ?? { sequence: 0, pieces: new Set() };
  directory.engines.set(upstream, found);
  return found;
}

function storeIndex(directory: Directory, store: string): StoreIndex {
  const found = directory.stores.get(store) ?? { sequence: 0, manifests: new Map() };
  directory.stores.set(store, found);
  return found;
}

/** Moves a sequence on by one event, or says why it cannot. */
function advance(index: { sequence: number }, sequence: number): Applied {
  if (sequence <= index.sequence) return 'stale';
  const isNext = sequence === index.sequence + 1;
  Object.assign(index, { sequence });
  return isNext ? 'applied' : 'gap';
}

export function applyEngineReport(
  directory: Directory,
  upstream: string,
  report: messages.EngineReport,
): Applied {
  const cache = engineCache(directory, upstream);
  switch (report.kind) {
    case 'piece-cached': {
      const applied = advance(cache, report.sequence);
      if (applied !== 'stale') cache.pieces.add(report.piece);
      return applied;
    }
    case 'piece-evicted': {
      const applied = advance(cache, report.sequence);
      if (applied !== 'stale') cache.pieces.delete(report.piece);
      return applied;
    }
    case 'snapshot':
      cache.sequence = report.sequence;
      cache.pieces = new Set(report.pieces);
      return 'applied';
    case 'load':
    case 'silent':
      return 'applied';
    default:
      return results.never(report);
  }
}

export function applyStoreReport(
  directory: Directory,
  store: string,
  report: messages.StoreReport,
): Applied {
  const index = storeIndex(directory, store);
  switch (report.kind) {
    case 'committed': {
      const applied = advance(index, report.sequence);
      if (applied !== 'stale') index.manifests.set(report.manifest.piece, report.manifest);
      return applied;
    }
    case 'dropped': {
      const applied = advance(index, report.sequence);
      if (applied !== 'stale') index.manifests.delete(report.piece);
      return applied;
    }
    case 'snapshot':
      index.sequence = report.sequence;
      index.manifests = new Map(report.manifests.map((each) => [each.piece, each]));
      return 'applied';
    case 'silent':
      index.manifests.clear();
      return 'applied';
    default:
      return results.never(report);
  }
}

/** Pieces from the first that the engine is believed to hold. */
export function cachedPieces(
  directory: Directory,
  upstream: string,
  pieces: readonly naming.PieceName[],
): number {
  const cache = directory.engines.get(upstream);
  const firstMissing = pieces.findIndex((piece) => !cache?.pieces.has(piece));
  return firstMissing === -1 ? pieces.length : firstMissing;
}

/** Committed pieces in one store from position `from` on, without a hole. */
export function storedPieces(
  directory: Directory,
  store: string,
  pieces: readonly naming.PieceName[],
  from: number,
): readonly safeRead.Manifest[] {
  const index = directory.stores.get(store);
  const found: safeRead.Manifest[] = [];
  for (let at = from; at < pieces.length; at += 1) {
    const manifest = index?.manifests.get(pieces[at] ?? '');
    if (!manifest) break;
    found.push(manifest);
  }
  return found;
}

/** The engine said how much it reused: a hint that promised more is taken back. */
export function correct(
  directory: Directory,
  upstream: string,
  pieces: readonly naming.PieceName[],
  heldPieces: number,
): void {
  const cache = engineCache(directory, upstream);
  pieces.slice(0, heldPieces).forEach((piece) => cache.pieces.add(piece));
}

export function isStored(directory: Directory, piece: naming.PieceName): boolean {
  return [...directory.stores.values()].some((index) => index.manifests.has(piece));
}
