/**
 * Names of pieces of context. A name chains the hashes of all preceding text from a root that is
 * derived with the client account's secret, so no other account or weight version can name a piece.
 *
 * The engine does the tokenization. Names hash the prompt's UTF-8 bytes in pieces of fixed length
 * instead: equal names mean equal bytes from the start, hence equal tokens.
 */
import * as crypto from 'node:crypto';

import type * as schema from '../configuration/schema.js';

/** About 2,000 tokens at four bytes per token. */
export const PIECE_BYTES = 8_000;
export const PIECE_TOKENS = 2_000;
export const BYTES_PER_TOKEN = PIECE_BYTES / PIECE_TOKENS;

/** 128 bits in hexadecimal. */
export type PieceName = string;
const NAME_HEX_DIGITS = 32;

/** The model identity that the root of a chain is derived from, besides the client account. */
export type ModelIdentity = Pick<schema.ModelService, 'model' | 'adapter' | 'weightVersion'>;

/** Returns the root of a client account's names for one model, adapter and weight version. */
export function deriveRoot(clientAccount: schema.ClientAccount, identity: ModelIdentity): string {
  const parts = [clientAccount.name, identity.model, identity.adapter, identity.weightVersion];
  return crypto
    .createHmac('sha256', clientAccount.contextSecret)
    .update(JSON.stringify(parts))
    .digest('hex');
}

/** Names every whole piece of the prompt in order; a shorter remainder gets no name. */
export function namePieces(root: string, prompt: string): readonly PieceName[] {
  const bytes = Buffer.from(prompt, 'utf8');
  const names: PieceName[] = [];
  let parent = root;
  for (let start = 0; start + PIECE_BYTES <= bytes.length; start += PIECE_BYTES) {
    const piece = bytes.subarray(start, start + PIECE_BYTES);
    parent = crypto.createHash('sha256').update(parent).update(piece).digest('hex');
    names.push(parent.slice(0, NAME_HEX_DIGITS));
  }
  return names;
}

/** Estimates the number of tokens in the prompt, for queue and cost estimates only. */
export function estimateTokens(prompt: string): number {
  return Math.ceil(Buffer.byteLength(prompt, 'utf8') / BYTES_PER_TOKEN);
}
