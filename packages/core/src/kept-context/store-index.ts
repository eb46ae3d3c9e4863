/** What one store is believed to hold. Updated in place as part of the directory. */
import type * as naming from './naming.js';
import type * as safeRead from './safe-read.js';
import * as sequences from './sequences.js';

/** Bound of one index; the oldest entries leave first. */
export const MAX_MANIFESTS_PER_STORE = 32_768;

export type StoreIndex = {
  sequence: number;
  /** Of the store's process; empty until known. */
  storeIncarnation: string;
  /** The stream of reports broke off: what is known is kept, and nothing is imported meanwhile. */
  isSilent: boolean;
  manifests: Map<naming.PieceName, safeRead.Manifest>;
  /** Bytes in each tier, of the known manifests. */
  bytes: Record<safeRead.Tier, number>;
  /** Where the next sample goes on. */
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

/** Takes in all that a store says it holds; what was known before is void. */
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

/** A store that was started anew counts from the beginning: all that was known of it is void. */
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

/** Forgets one stored piece, before the store has reported it as dropped. */
export function removeManifest(index: StoreIndex, piece: naming.PieceName): void {
  const manifest = index.manifests.get(piece);
  if (!manifest) return;
  index.manifests.delete(piece);
  addBytes(index, manifest.tier, -manifest.lengthBytes);
}

function addBytes({ bytes }: StoreIndex, tier: safeRead.Tier, added: number): void {
  Object.assign(bytes, { [tier]: bytes[tier] + added });
}

/** Some of the stored pieces: every n-th, going on where the last sample ended. */
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
