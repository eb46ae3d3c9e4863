/**
 * What to keep: which pieces go to which store and tier, and which leave for them, by expected
 * hits for each byte and hour. All pieces have the same size and save the same work, so the hit
 * density alone ranks them. A chain stays whole from its start: pieces leave from its end.
 */
import type * as schema from '../configuration/schema.js';
import * as directories from './directory.js';
import type * as naming from './naming.js';
import * as reuse from './reuse.js';
import type * as safeRead from './safe-read.js';
import * as storeIndexes from './store-index.js';

export type Inputs = {
  stores: readonly schema.Store[];
  directory: directories.Directory;
  reuseHistory: reuse.History;
  pieceBytes: number;
  nowMs: number;
};

/** One store's part of a keep decision. */
export type StorePlan = {
  store: schema.Store;
  tier: safeRead.Tier;
  pieces: readonly naming.PieceName[];
  /** Stored pieces that make room. */
  evicted: readonly safeRead.Manifest[];
};

/** A second copy is worth this share of the first: it saves work only when the first is lost. */
export const SECOND_COPY_VALUE = 0.05;
/** Fill of a tier up to which room is free; the rest covers exports that are under way. */
const MAX_FILL_SHARE = 0.98;
const EVICTION_SAMPLE_SIZE = 12;
const EVICTION_SAMPLE_STRIDE = 11;

/** Decides what to export of a prompt that an engine has just computed. */
export function plan(
  views: Inputs,
  upstreamDataCentre: string,
  pieces: readonly naming.PieceName[],
): readonly StorePlan[] {
  const stores = views.stores.filter(
    ({ name, presence }) => presence === 'in' && !storeIndexOf(views, name).isSilent,
  );
  const missing = pieces.filter((piece) => !directories.isStored(views.directory, piece));
  const home = choosePrimaryStore(views, stores, upstreamDataCentre, pieces);
  if (!home) return [];
  const copies = stores
    .filter((store) => store !== home)
    .slice(0, 1)
    .flatMap((store) => planStore(views, store, pieces, SECOND_COPY_VALUE));
  const first = missing.length === 0 ? [] : planStore(views, home, pieces, 1);
  return [...first, ...copies];
}

function storeIndexOf(views: Inputs, store: string): storeIndexes.StoreIndex {
  return directories.ensureStoreIndex(views.directory, store);
}

function withoutStored(
  views: Inputs,
  store: schema.Store,
  pieces: readonly naming.PieceName[],
): readonly naming.PieceName[] {
  const { manifests } = storeIndexOf(views, store.name);
  return pieces.filter((piece) => !manifests.has(piece));
}

/** The store that holds most of the chain, for a chain is imported from one store; else the emptiest. */
function choosePrimaryStore(
  views: Inputs,
  stores: readonly schema.Store[],
  dataCentre: string,
  pieces: readonly naming.PieceName[],
): schema.Store | undefined {
  const rank = (store: schema.Store) => {
    const held = pieces.length - withoutStored(views, store, pieces).length;
    const nearness = store.dataCentre === dataCentre ? 0.01 : 0;
    return held * 2 - fillOf(views, store) + nearness;
  };
  return stores.reduce<schema.Store | undefined>(
    (best, each) => (best && rank(best) >= rank(each) ? best : each),
    undefined,
  );
}

/** Used share of a store's bytes. */
function fillOf(views: Inputs, store: schema.Store): number {
  const { bytes } = storeIndexOf(views, store.name);
  return (bytes.memory + bytes.disk) / (store.memoryBytes + store.diskBytes);
}

/** Puts pieces where there is room, else in the place of less valuable ones, else nowhere. */
function planStore(
  views: Inputs,
  store: schema.Store,
  own: readonly naming.PieceName[],
  worth: number,
): readonly StorePlan[] {
  const pieces = withoutStored(views, store, own);
  if (pieces.length === 0) return [];
  const needed = pieces.length * views.pieceBytes;
  const { bytes } = storeIndexOf(views, store.name);
  if (bytes.memory + needed <= store.memoryBytes * MAX_FILL_SHARE) {
    return [{ store, tier: 'memory', pieces, evicted: [] }];
  }
  if (bytes.disk + needed <= store.diskBytes * MAX_FILL_SHARE) {
    return [{ store, tier: 'disk', pieces, evicted: [] }];
  }
  const densities = pieces.map(
    (piece) => worth * reuse.estimateHitDensity(views.reuseHistory, piece, views.nowMs),
  );
  return planReplacement(store, pieces, chooseVictims(views, store, densities, new Set(own)));
}

/** Each tier takes as many pieces as leave it, the start of the chain in memory. */
function planReplacement(
  store: schema.Store,
  pieces: readonly naming.PieceName[],
  victims: readonly safeRead.Manifest[],
): readonly StorePlan[] {
  const memory = victims.filter(({ tier }) => tier === 'memory');
  const disk = victims.filter(({ tier }) => tier === 'disk');
  const split = memory.length;
  const keepings: readonly StorePlan[] = [
    { store, tier: 'memory', pieces: pieces.slice(0, split), evicted: memory },
    { store, tier: 'disk', pieces: pieces.slice(split, victims.length), evicted: disk },
  ];
  return keepings.filter((each) => each.pieces.length > 0);
}

/**
 * Stored pieces worth less than those that come, one for each, ends of chains first. None of the
 * prompt's `own`: its start must stay.
 */
function chooseVictims(
  views: Inputs,
  store: schema.Store,
  densities: readonly number[],
  own: ReadonlySet<naming.PieceName>,
): readonly safeRead.Manifest[] {
  const index = storeIndexOf(views, store.name);
  const victims: safeRead.Manifest[] = [];
  while (victims.length < densities.length) {
    const end = leastValuableEnd(views, store.name, index, own);
    const taken =
      end === undefined
        ? []
        : evictFromEnd(views, store.name, index, end, densities.slice(victims.length), own);
    if (taken.length === 0) return victims;
    victims.push(...taken);
  }
  return victims;
}

/** The least valuable of a sample of chain ends. */
function leastValuableEnd(
  views: Inputs,
  store: string,
  index: storeIndexes.StoreIndex,
  own: ReadonlySet<naming.PieceName>,
): naming.PieceName | undefined {
  const ends = new Set(
    storeIndexes
      .sample(index, EVICTION_SAMPLE_SIZE, EVICTION_SAMPLE_STRIDE)
      .map((piece) => endOf(views, index, piece)),
  );
  return [...ends]
    .filter((piece) => !own.has(piece))
    .map((piece) => ({ piece, worth: valueOfPiece(views, store, piece) }))
    .reduce<{ piece: naming.PieceName; worth: number } | undefined>(
      (best, each) => (best && best.worth <= each.worth ? best : each),
      undefined,
    )?.piece;
}

/** The last piece of the chain, through `piece`, that the store holds. */
function endOf(
  views: Inputs,
  index: storeIndexes.StoreIndex,
  piece: naming.PieceName,
): naming.PieceName {
  let end = piece;
  for (;;) {
    const child = storedChild(views, index, end);
    if (child === undefined) return end;
    end = child;
  }
}

/** A stored piece that follows this one: as long as there is one, this one is no end. */
function storedChild(
  views: Inputs,
  index: storeIndexes.StoreIndex,
  piece: naming.PieceName,
): naming.PieceName | undefined {
  return views.reuseHistory.byPiece
    .get(piece)
    ?.children.find((child) => index.manifests.has(child));
}

function valueOfPiece(views: Inputs, store: string, piece: naming.PieceName): number {
  const density = reuse.estimateHitDensity(views.reuseHistory, piece, views.nowMs);
  return hasCopy(views, store, piece) ? density * SECOND_COPY_VALUE : density;
}

function hasCopy(views: Inputs, store: string, piece: naming.PieceName): boolean {
  for (const [name, index] of views.directory.stores) {
    if (name !== store && !index.isSilent && index.manifests.has(piece)) return true;
  }
  return false;
}

/** Takes a chain's end and what stands before it, each for one coming piece that is worth more. */
function evictFromEnd(
  views: Inputs,
  store: string,
  index: storeIndexes.StoreIndex,
  end: naming.PieceName,
  densities: readonly number[],
  own: ReadonlySet<naming.PieceName>,
): readonly safeRead.Manifest[] {
  const taken: safeRead.Manifest[] = [];
  let piece = end;
  for (const density of densities) {
    const manifest = index.manifests.get(piece);
    if (!manifest || own.has(piece) || valueOfPiece(views, store, piece) >= density) return taken;
    taken.push(manifest);
    storeIndexes.removeManifest(index, piece);
    const parent = views.reuseHistory.byPiece.get(piece)?.parent ?? '';
    if (parent === '' || storedChild(views, index, parent) !== undefined) return taken;
    piece = parent;
  }
  return taken;
}
