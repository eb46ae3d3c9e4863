/**
 * Retention: selects which pieces are exported to which store and tier, and which are evicted for
 * them, by expected hits per byte and hour. All pieces have the same size and save the same work,
 * so hit density alone ranks them. A chain is evicted from its end, so it stays whole from its
 * start.
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

/** One store's part of a retention decision. */
export type StorePlan = {
  store: schema.Store;
  tier: safeRead.Tier;
  pieces: readonly naming.PieceName[];
  /** Stored pieces that are evicted to make room. */
  evicted: readonly safeRead.Manifest[];
};

/** Value of a second copy relative to the first: it saves work only when the first is lost. */
export const SECOND_COPY_VALUE = 0.05;
/** Share of a tier that is filled without eviction; the rest covers exports in flight. */
const MAX_FILL_SHARE = 0.98;
const EVICTION_SAMPLE_SIZE = 12;
const EVICTION_SAMPLE_STRIDE = 11;

/** Decides which pieces to export of a prompt that an engine has just computed. */
export function plan(
  inputs: Inputs,
  upstreamDataCentre: string,
  pieces: readonly naming.PieceName[],
): readonly StorePlan[] {
  const stores = inputs.stores.filter(
    ({ name, presence }) => presence === 'in' && !storeIndexOf(inputs, name).isSilent,
  );
  const missing = pieces.filter((piece) => !directories.isStored(inputs.directory, piece));
  const primary = choosePrimaryStore(inputs, stores, upstreamDataCentre, pieces);
  if (!primary) return [];
  const copies = stores
    .filter((store) => store !== primary)
    .slice(0, 1)
    .flatMap((store) => planStore(inputs, store, pieces, SECOND_COPY_VALUE));
  const first = missing.length === 0 ? [] : planStore(inputs, primary, pieces, 1);
  return [...first, ...copies];
}

function storeIndexOf(inputs: Inputs, store: string): storeIndexes.StoreIndex {
  return directories.ensureStoreIndex(inputs.directory, store);
}

function withoutStored(
  inputs: Inputs,
  store: schema.Store,
  pieces: readonly naming.PieceName[],
): readonly naming.PieceName[] {
  const { manifests } = storeIndexOf(inputs, store.name);
  return pieces.filter((piece) => !manifests.has(piece));
}

/** Returns the store with most of the chain, since imports use one store; else the emptiest. */
function choosePrimaryStore(
  inputs: Inputs,
  stores: readonly schema.Store[],
  dataCentre: string,
  pieces: readonly naming.PieceName[],
): schema.Store | undefined {
  const rank = (store: schema.Store) => {
    const held = pieces.length - withoutStored(inputs, store, pieces).length;
    const nearness = store.dataCentre === dataCentre ? 0.01 : 0;
    return held * 2 - fillOf(inputs, store) + nearness;
  };
  return stores.reduce<schema.Store | undefined>(
    (best, each) => (best && rank(best) >= rank(each) ? best : each),
    undefined,
  );
}

/** Returns the used share of a store's bytes. */
function fillOf(inputs: Inputs, store: schema.Store): number {
  const { bytes } = storeIndexOf(inputs, store.name);
  return (bytes.memory + bytes.disk) / (store.memoryBytes + store.diskBytes);
}

/** Plans pieces into free room, otherwise in place of less valuable ones, otherwise not at all. */
function planStore(
  inputs: Inputs,
  store: schema.Store,
  own: readonly naming.PieceName[],
  worth: number,
): readonly StorePlan[] {
  const pieces = withoutStored(inputs, store, own);
  if (pieces.length === 0) return [];
  const needed = pieces.length * inputs.pieceBytes;
  const { bytes } = storeIndexOf(inputs, store.name);
  if (bytes.memory + needed <= store.memoryBytes * MAX_FILL_SHARE) {
    return [{ store, tier: 'memory', pieces, evicted: [] }];
  }
  if (bytes.disk + needed <= store.diskBytes * MAX_FILL_SHARE) {
    return [{ store, tier: 'disk', pieces, evicted: [] }];
  }
  const densities = pieces.map(
    (piece) => worth * reuse.estimateHitDensity(inputs.reuseHistory, piece, inputs.nowMs),
  );
  return planReplacement(store, pieces, chooseVictims(inputs, store, densities, new Set(own)));
}

/** Each tier gets as many pieces as are evicted from it; the start of the chain goes to memory. */
function planReplacement(
  store: schema.Store,
  pieces: readonly naming.PieceName[],
  victims: readonly safeRead.Manifest[],
): readonly StorePlan[] {
  const memory = victims.filter(({ tier }) => tier === 'memory');
  const disk = victims.filter(({ tier }) => tier === 'disk');
  const split = memory.length;
  const plans: readonly StorePlan[] = [
    { store, tier: 'memory', pieces: pieces.slice(0, split), evicted: memory },
    { store, tier: 'disk', pieces: pieces.slice(split, victims.length), evicted: disk },
  ];
  return plans.filter((each) => each.pieces.length > 0);
}

/**
 * Returns stored pieces that are worth less than the new ones, one for each, from the ends of
 * chains. The prompt's `own` pieces are never chosen: the start of its chain must stay.
 */
function chooseVictims(
  inputs: Inputs,
  store: schema.Store,
  densities: readonly number[],
  own: ReadonlySet<naming.PieceName>,
): readonly safeRead.Manifest[] {
  const index = storeIndexOf(inputs, store.name);
  const victims: safeRead.Manifest[] = [];
  while (victims.length < densities.length) {
    const end = findLeastValuableEnd(inputs, store.name, index, own);
    const taken =
      end === undefined
        ? []
        : evictFromEnd(inputs, store.name, index, end, densities.slice(victims.length), own);
    if (taken.length === 0) return victims;
    victims.push(...taken);
  }
  return victims;
}

/** Returns the least valuable of a sample of chain ends. */
function findLeastValuableEnd(
  inputs: Inputs,
  store: string,
  index: storeIndexes.StoreIndex,
  own: ReadonlySet<naming.PieceName>,
): naming.PieceName | undefined {
  const ends = new Set(
    storeIndexes
      .sample(index, EVICTION_SAMPLE_SIZE, EVICTION_SAMPLE_STRIDE)
      .map((piece) => findChainEnd(inputs, index, piece)),
  );
  return [...ends]
    .filter((piece) => !own.has(piece))
    .map((piece) => ({ piece, worth: valueOfPiece(inputs, store, piece) }))
    .reduce<{ piece: naming.PieceName; worth: number } | undefined>(
      (best, each) => (best && best.worth <= each.worth ? best : each),
      undefined,
    )?.piece;
}

/** Returns the last piece that the store holds of the chain through `piece`. */
function findChainEnd(
  inputs: Inputs,
  index: storeIndexes.StoreIndex,
  piece: naming.PieceName,
): naming.PieceName {
  let end = piece;
  for (;;) {
    const child = findStoredChild(inputs, index, end);
    if (child === undefined) return end;
    end = child;
  }
}

/** Returns a stored piece that follows `piece`; `piece` is a chain end only if there is none. */
function findStoredChild(
  inputs: Inputs,
  index: storeIndexes.StoreIndex,
  piece: naming.PieceName,
): naming.PieceName | undefined {
  return inputs.reuseHistory.byPiece
    .get(piece)
    ?.children.find((child) => index.manifests.has(child));
}

function valueOfPiece(inputs: Inputs, store: string, piece: naming.PieceName): number {
  const density = reuse.estimateHitDensity(inputs.reuseHistory, piece, inputs.nowMs);
  return hasCopy(inputs, store, piece) ? density * SECOND_COPY_VALUE : density;
}

function hasCopy(inputs: Inputs, store: string, piece: naming.PieceName): boolean {
  for (const [name, index] of inputs.directory.stores) {
    if (name !== store && !index.isSilent && index.manifests.has(piece)) return true;
  }
  return false;
}

/** Evicts a chain's end and the pieces before it, each for one new piece of higher value. */
function evictFromEnd(
  inputs: Inputs,
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
    if (!manifest || own.has(piece) || valueOfPiece(inputs, store, piece) >= density) return taken;
    taken.push(manifest);
    storeIndexes.removeManifest(index, piece);
    const parent = inputs.reuseHistory.byPiece.get(piece)?.parent ?? '';
    if (parent === '' || findStoredChild(inputs, index, parent) !== undefined) return taken;
    piece = parent;
  }
  return taken;
}
