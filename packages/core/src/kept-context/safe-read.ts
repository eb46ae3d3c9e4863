/**
 * Validates reads of stored pieces. The data is compared with the committed manifest after its last
 * byte arrived, so a slot that was freed and reused during the read is detected.
 */
import type * as naming from './naming.js';

/** Committed by the store once it has all bytes; nothing is readable before that. */
export type Manifest = {
  piece: naming.PieceName;
  store: string;
  slot: number;
  /** Changes whenever the slot is reallocated. */
  slotIncarnation: string;
  /** Changes at every start of the store. */
  storeIncarnation: string;
  lengthBytes: number;
  /** SHA-256 in hexadecimal. */
  checksum: string;
  tier: Tier;
};

export type Tier = 'memory' | 'disk';

/** What the reader observed, collected after the last byte arrived. */
export type Observation = Pick<
  Manifest,
  'piece' | 'slotIncarnation' | 'storeIncarnation' | 'lengthBytes' | 'checksum'
>;

export type ReadValidation =
  | { kind: 'safe' }
  | {
      kind: 'unsafe';
      reason: 'wrong-piece' | 'slot-reused' | 'store-restarted' | 'length' | 'checksum';
    };

export function validateRead(manifest: Manifest, seen: Observation): ReadValidation {
  if (seen.piece !== manifest.piece) return { kind: 'unsafe', reason: 'wrong-piece' };
  if (seen.storeIncarnation !== manifest.storeIncarnation) {
    return { kind: 'unsafe', reason: 'store-restarted' };
  }
  if (seen.slotIncarnation !== manifest.slotIncarnation) {
    return { kind: 'unsafe', reason: 'slot-reused' };
  }
  if (seen.lengthBytes !== manifest.lengthBytes) return { kind: 'unsafe', reason: 'length' };
  if (seen.checksum !== manifest.checksum) return { kind: 'unsafe', reason: 'checksum' };
  return { kind: 'safe' };
}

/** Returns the longest usable run of pieces from the first; an unsafe or missing piece ends it. */
export function safePrefix(
  manifests: readonly Manifest[],
  seen: readonly Observation[],
): readonly Manifest[] {
  const byPiece = new Map(seen.map((each) => [each.piece, each]));
  const firstUnsafe = manifests.findIndex((manifest) => {
    const observation = byPiece.get(manifest.piece);
    return !observation || validateRead(manifest, observation).kind === 'unsafe';
  });
  return firstUnsafe === -1 ? manifests : manifests.slice(0, firstUnsafe);
}
