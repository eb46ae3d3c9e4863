/**
 * What to keep: which pieces go to which store and tier, and which leave for them, by expected
 * hits for each byte and hour. All pieces have the same size and save the same work, so the hit
 * density alone ranks them. A chain stays whole from its start: pieces leave from its end.
 */
import type * as schema from '../configuration/schema.js';
import * as directories from './directory.js';
import type * as naming from './naming.js';
import * as returns from './returns.js';
import type * as safeRead from './safe-read.js';
import * as storeIndexes from './store-index.js';

export type Views = {
  stores: readonly schema.Store[];
  directory: directories.Directory;
  returns: returns.Returns;
  pieceBytes: number;
  nowMs: number;
};

/** One store's part of a keep decision. */
export type Keeping = {
  store: schema.Store;
  tier: safeRead.Tier;
  pieces: readonly naming.PieceName[];
  /** Stored pieces that make room. */
  evicted: readonly safeRead.Manifest[];
};

/** A second copy is worth this share of the first: it saves work only when the first is lost. */
export const COPY_WORTH = 0.05;
/** Fill of a tier up to which room is free; the rest covers exports that are under way. */
const FULL_SHARE = 0.98;
const CANDIDATES = 12;
const STRIDE = 11;

/** Decides what to export of a prompt that an engine has just computed. */
export function keep(
  views: Views,
  upstreamDataCentre: string,
  pieces: readonly naming.PieceName[],
): readonly Keeping[] {
  const stores = views.stores.filter(
    ({ name, presence }) => presence === 'in' && !indexOf(views, name).isSilent,
  );
  const missing = pieces.filter((piece) => !directories.isStored(views.directory, piece));
  const home = chooseHome(views, stores, upstreamDataCentre, pieces);
  if (!home) return [];
  const copies = stores
    .filter((store) => store !== home)
    .slice(0, 1)
    .flatMap((store) => place(views, store, withoutStored(views, store, pieces), COPY_WORTH));
  return [...place(views, home, missing, 1), ...copies];
}

function indexOf(views: Views, store: string): storeIndexes.StoreIndex {
  return directories.storeIndex(views.directory, store);
}

function withoutStored(
  views: Views,
  store: schema.Store,
  pieces: readonly naming.PieceName[],
): readonly naming.PieceName[] {
  const { manifests } = indexOf(views, store.name);
  return pieces.filter((piece) => !manifests.has(piece));
}

/** The store that holds most of the chain, for a chain is imported from one store; else the emptiest. */
function chooseHome(
  views: Views,
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
function fillOf(views: Views, store: schema.Store): number {
  const { bytes } = indexOf(views, store.name);
  return (bytes.memory + bytes.disk) / (store.memoryBytes + store.diskBytes);
}

/** Puts pieces where there is room, else in the place of less valuable ones, else nowhere. */
function place(
  views: Views,
  store: schema.Store,
  pieces: readonly naming.PieceName[],
  worth: number,
): readonly Keeping[] {
  if (pieces.length === 0) return [];
  const needed = pieces.length * views.pieceBytes;
  const { bytes } = indexOf(views, store.name);
  if (bytes.memory + needed <= store.memoryBytes * FULL_SHARE) {
    return [{ store, tier: 'memory', pieces, evicted: [] }];
  }
  if (bytes.disk + needed <= store.diskBytes * FULL_SHARE) {
    return [{ store, tier: 'disk', pieces, evicted: [] }];
  }
  const densities = pieces.map(
    (piece) => worth * returns.densityOf(views.returns, piece, views.nowMs),
  );
  return replace(store, pieces, chooseVictims(views, store, densities));
}

/** Each tier takes as many pieces as leave it, the start of the chain in memory. */
function replace(
  store: schema.Store,
  pieces: readonly naming.PieceName[],
  victims: readonly safeRead.Manifest[],
): readonly Keeping[] {
  const memory = victims.filter(({ tier }) => tier === 'memory');
  const disk = victims.filter(({ tier }) => tier === 'disk');
  const split = memory.length;
  const keepings: readonly Keeping[] = [
    { store, tier: 'memory', pieces: pieces.slice(0, split), evicted: memory },
    { store, tier: 'disk', pieces: pieces.slice(split, victims.length), evicted: disk },
  ];
  return keepings.filter((each) => each.pieces.length > 0);
}

/** Stored pieces worth less than those that come, one for each, ends of chains first. */
function chooseVictims(
  views: Views,
  store: schema.Store,
  densities: readonly number[],
): readonly safeRead.Manifest[] {
  const index = indexOf(views, store.name);
  const victims: safeRead.Manifest[] = [];
  while (victims.length < densities.length) {
    const end = leastValuableEnd(views, store.name, index);
    const taken =
      end === undefined
        ? []
        : takeFromEnd(views, store.name, index, end, densities.slice(victims.length));
    if (taken.length === 0) return victims;
    victims.push(...taken);
  }
  return victims;
}

/** The least valuable of a sample of chain ends. */
function leastValuableEnd(
  views: Views,
  store: string,
  index: storeIndexes.StoreIndex,
): naming.PieceName | undefined {
  const ends = new Set(
    storeIndexes.sample(index, CANDIDATES, STRIDE).map((piece) => endOf(views, index, piece)),
  );
  return [...ends]
    .map((piece) => ({ piece, worth: worthOf(views, store, piece) }))
    .reduce<{ piece: naming.PieceName; worth: number } | undefined>(
      (best, each) => (best && best.worth <= each.worth ? best : each),
      undefined,
    )?.piece;
}

/** The last piece of the chain, through `piece`, that the store holds. */
function endOf(
  views: Views,
  index: storeIndexes.StoreIndex,
  piece: naming.PieceName,
): naming.PieceName {
  let end = piece;
  for (;;) {
    const child = views.returns.uses.get(end)?.child ?? '';
    if (child === '' || !index.manifests.has(child)) return end;
    end = child;
  }
}

function worthOf(views: Views, store: string, piece: naming.PieceName): number {
  const density = returns.densityOf(views.returns, piece, views.nowMs);
  return hasCopy(views, store, piece) ? density * COPY_WORTH : density;
}

function hasCopy(views: Views, store: string, piece: naming.PieceName): boolean {
  for (const [name, index] of views.directory.stores) {
    if (name !== store && !index.isSilent && index.manifests.has(piece)) return true;
  }
  return false;
}

/** Takes a chain's end and what stands before it, each for one coming piece that is worth more. */
function takeFromEnd(
  views: Views,
  store: string,
  index: storeIndexes.StoreIndex,
  end: naming.PieceName,
  densities: readonly number[],
): readonly safeRead.Manifest[] {
  const taken: safeRead.Manifest[] = [];
  let piece = end;
  for (const density of densities) {
    const manifest = index.manifests.get(piece);
    if (!manifest || worthOf(views, store, piece) >= density) return taken;
    taken.push(manifest);
    storeIndexes.removeManifest(index, piece);
    const use = views.returns.uses.get(piece);
    const parent = views.returns.uses.get(use?.parent ?? '');
    if (!use || parent?.child !== piece) return taken;
    piece = use.parent;
  }
  return taken;
}
