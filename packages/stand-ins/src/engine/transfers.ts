/** Transfers context pieces between an engine and a store. */
import * as crypto from 'node:crypto';

import * as undici from 'undici';

import type * as context from './context.js';

export type Manifest = { piece: string; slot: number; slotIncarnation: string };
export type Observation = {
  piece: string;
  slotIncarnation: string;
  storeIncarnation: string;
  lengthBytes: number;
  checksum: string;
};

export function checksumOf(content: Uint8Array): string {
  return crypto.createHash('sha256').update(content).digest('hex');
}

/** Exports a piece: reserves a slot, writes its bytes, and commits its manifest. */
export async function exportPiece(
  storeAddress: string,
  piece: context.Piece,
  tier: string,
): Promise<boolean> {
  const store = `http://${storeAddress}`;
  const reserved = await undici.request(`${store}/slots`, {
    method: 'POST',
    body: JSON.stringify({ piece: piece.name, lengthBytes: piece.content.length, tier }),
  });
  const slot = (await reserved.body.json()) as { slot: number; slotIncarnation: string };
  if (reserved.statusCode !== 200) return false;
  const path = `${store}/slots/${slot.slot}?incarnation=${slot.slotIncarnation}`;
  const filled = await undici.request(path, { method: 'PUT', body: piece.content });
  await filled.body.dump();
  const committed = await undici.request(`${store}/manifests`, {
    method: 'POST',
    body: JSON.stringify({ ...slot, checksum: checksumOf(piece.content) }),
  });
  await committed.body.dump();
  return committed.statusCode === 200;
}

export type ImportedPiece = { observation: Observation; content: Buffer };

/**
 * Reads one slot; the observation describes the bytes received. Returns `undefined` if the store does
 * not have the slot.
 */
export async function importPiece(
  storeAddress: string,
  manifest: Manifest,
): Promise<ImportedPiece | undefined> {
  const response = await undici.request(`http://${storeAddress}/slots/${manifest.slot}`);
  const content = Buffer.from(await response.body.arrayBuffer());
  if (response.statusCode !== 200) return undefined;
  const header = (name: string) => String(response.headers[name] ?? '');
  const observation: Observation = {
    piece: header('x-piece'),
    slotIncarnation: header('x-slot-incarnation'),
    storeIncarnation: header('x-store-incarnation'),
    lengthBytes: content.length,
    checksum: checksumOf(content),
  };
  return { observation, content };
}
