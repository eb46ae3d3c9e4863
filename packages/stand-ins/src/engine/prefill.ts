/** Prefill: computes the state that the answer follows from, given a prompt and available context. */
import * as context from './context.js';
import type * as runs from './runs.js';

export type RunOrder = {
  runId: string;
  model: string;
  adapter: string;
  weightVersion: string;
  prompt: string;
  pieces: readonly string[];
  adopted: readonly string[];
  maxTokens: number;
  priority: runs.Priority;
  offset: number;
};

export type Result = {
  promptTokens: number;
  reusedTokens: number;
  importedTokens: number;
  computedTokens: number;
  /** The state after the last token of the prompt. */
  finalState: Buffer;
  /** Pieces that were not in the cache. */
  newPieces: readonly context.Piece[];
};

/**
 * Computes the context of a prompt piece by piece. Cached or adopted pieces are used as long as they
 * form a prefix; everything after the first missing piece is computed.
 */
export function run(
  order: RunOrder,
  cache: context.PrefixCache,
  staged: ReadonlyMap<string, Buffer> | undefined,
): Result {
  const text = Buffer.from(order.prompt, 'utf8');
  const adopted = new Set(order.adopted);
  const found = { reusedTokens: 0, importedTokens: 0 };
  const added: context.Piece[] = [];
  let before = context.initialState(`${order.model}/${order.adapter}/${order.weightVersion}`);
  let isPrefix = true;
  const wholePieces = Math.floor(text.length / context.PIECE_BYTES);
  for (let at = 0; at < wholePieces; at += 1) {
    const { [at]: name = '' } = order.pieces;
    const piece = text.subarray(at * context.PIECE_BYTES, (at + 1) * context.PIECE_BYTES);
    const cached = isPrefix ? cache.get(name) : undefined;
    const imported = isPrefix && adopted.has(name) ? staged?.get(name) : undefined;
    if (cached) found.reusedTokens += context.PIECE_TOKENS;
    else if (imported) found.importedTokens += context.PIECE_TOKENS;
    else isPrefix = false;
    before = cached ?? imported ?? context.extend(before, piece);
    if (!cached && name !== '') added.push({ name, content: before });
  }
  const rest = text.subarray(wholePieces * context.PIECE_BYTES);
  const promptTokens = context.countTokens(text);
  const computedTokens = promptTokens - found.reusedTokens - found.importedTokens;
  const final = context.extend(before, rest);
  return { ...found, promptTokens, computedTokens, finalState: final, newPieces: added };
}
