/**
 * Names of pieces of context. A name chains the hashes of all text before it from a root that only
 * the client account's secret can make, so another account or weight version cannot name a piece.
 *
 * Tokenization is the engine's. The system hashes the prompt's UTF-8 bytes in pieces of fixed
 * length instead: equal names mean equal bytes from the start, hence equal tokens.
 */
import * as crypto from 'node:crypto';

import type * as schema from '../configuration/schema.js';

/** About 2,000 tokens at four bytes a token. */
export const PIECE_BYTES = 8_000;
export const PIECE_TOKENS = 2_000;
export const BYTES_PER_TOKEN = PIECE_BYTES / PIECE_TOKENS;

/** 128 bits in hexadecimal. */
export type PieceName = string;
const NAME_DIGITS = 32;

/** What the root of a chain is made from, besides the account's secret. */
export type ModelIdentity = Pick<schema.ModelService, 'model' | 'adapter' | 'weightVersion'>;

/** The root of all names of one client account for one model, adapter and weight version. */
export function deriveRoot(clientAccount: schema.ClientAccount, lineage: ModelIdentity): string {
  const parts = [clientAccount.name, lineage.model, lineage.adapter, lineage.weightVersion];
  return crypto
    .createHmac('sha256', clientAccount.contextSecret)
    .update(JSON.stringify(parts))
    .digest('hex');
}

/** Names every whole piece of the prompt, first to last; a shorter rest has no name. */
export function namePieces(root: string, prompt: string): readonly PieceName[] {
  const bytes = Buffer.from(prompt, 'utf8');
  const names: PieceName[] = [];
  let parent = root;
  for (let start = 0; start + PIECE_BYTES <= bytes.length; start += PIECE_BYTES) {
    const piece = bytes.subarray(start, start + PIECE_BYTES);
    parent = crypto.createHash('sha256').update(parent).update(piece).digest('hex');
    names.push(parent.slice(0, NAME_DIGITS));
  }
  return names;
}

/** An estimate of the prompt's tokens, for queues and costs only. */
export function estimateTokens(prompt: string): number {
  return Math.ceil(Buffer.byteLength(prompt, 'utf8') / BYTES_PER_TOKEN);
}
