/** Index of the pieces that one store is expected to hold. Updated in place with the directory. */
import type * as naming from './naming.js';
import type * as safeRead from './safe-read.js';
import * as sequences from './sequences.js';

/** Bound of one index; the oldest entries are evicted first. */
export const MAX_MANIFESTS_PER_STORE = 32_768;

export type StoreIndex = {
  sequence: number;
  /** Incarnation of the store's process; empty until known. */
  storeIncarnation: string;
  /** Reports were interrupted: the manifests are kept, but nothing is imported until a snapshot. */
  isSilent: boolean;
  manifests: Map<naming.PieceName, safeRead.Manifest>;
  /** Bytes in each tier, of the known manifests. */
  bytes: Record<safeRead.Tier, number>;
  /** Where the next sample continues. */
  cursor: IterableIterator<naming.PieceName> | undefined;
};

export function create(): StoreIndex {
  return {
    sequence: 0,
    storeIncarnation: '',
    isSilent: false,
    manifests: new Map(),
    bytes: { memory: 0, disk: 0 },
    cursor: undefined,
  };
}

/** Replaces the index with a store's snapshot. */
export function applySnapshot(
  index: StoreIndex,
  snapshot: {
    sequence: number;
    storeIncarnation: string;
    manifests: readonly safeRead.Manifest[];
  },
): void {
  clear(index);
  snapshot.manifests.forEach((manifest) => addManifest(index, manifest));
  const { sequence, storeIncarnation } = snapshot;
  Object.assign(index, { sequence, storeIncarnation, isSilent: false });
}

function clear(index: StoreIndex): void {
  [...index.manifests.keys()].forEach((piece) => removeManifest(index, piece));
}

/** Applies a commit. A restarted store numbers events from the start, so its index is cleared. */
export function applyCommitted(
  index: StoreIndex,
  sequence: number,
  manifest: safeRead.Manifest,
): sequences.ApplyResult {
  const { storeIncarnation } = manifest;
  const isRestarted = index.storeIncarnation !== '' && index.storeIncarnation !== storeIncarnation;
  if (isRestarted) {
    clear(index);
    Object.assign(index, { sequence: 0 });
  }
  Object.assign(index, { storeIncarnation });
  const applied = sequences.advance(index, sequence);
  if (applied !== 'stale') addManifest(index, manifest);
  return applied;
}

function addManifest(index: StoreIndex, manifest: safeRead.Manifest): void {
  removeManifest(index, manifest.piece);
  index.manifests.set(manifest.piece, manifest);
  addBytes(index, manifest.tier, manifest.lengthBytes);
  const [oldest] = index.manifests.keys();
  const isOver = index.manifests.size > MAX_MANIFESTS_PER_STORE;
  if (isOver && oldest !== undefined) removeManifest(index, oldest);
}

/** Removes one stored piece; on eviction, before the store reports it as dropped. */
export function removeManifest(index: StoreIndex, piece: naming.PieceName): void {
  const manifest = index.manifests.get(piece);
  if (!manifest) return;
  index.manifests.delete(piece);
  addBytes(index, manifest.tier, -manifest.lengthBytes);
}

function addBytes({ bytes }: StoreIndex, tier: safeRead.Tier, added: number): void {
  Object.assign(bytes, { [tier]: bytes[tier] + added });
}

/** Returns up to `count` pieces: every `stride`-th, continuing where the last sample ended. */
export function sample(
  index: StoreIndex,
  count: number,
  stride: number,
): readonly naming.PieceName[] {
  const found: naming.PieceName[] = [];
  const steps = Math.min(count * stride, index.manifests.size);
  for (let step = 0; step < steps; step += 1) {
    const piece = nextPiece(index);
    if (step % stride === 0 && piece !== undefined) found.push(piece);
  }
  return found;
}

function nextPiece(index: StoreIndex): naming.PieceName | undefined {
  const next = index.cursor?.next();
  if (next && !next.done) return next.value;
  const cursor = index.manifests.keys();
  Object.assign(index, { cursor });
  const first = cursor.next();
  return first.done ? undefined : first.value;
}
