/**
 * Computes the context of a prompt and holds its pieces in a prefix cache of limited size. The content
 * of a piece depends on all text before it, so that reuse of a wrong piece changes the answer.
 */
import * as crypto from 'node:crypto';

export type Piece = { name: string; content: Buffer };

export const PIECE_BYTES = 8_000;
export const PIECE_TOKENS = 2_000;
const BYTES_PER_TOKEN = 4;

/** Returns the state after a piece of text, given the state before it. */
export function extend(before: Buffer, text: Buffer): Buffer {
  return crypto.createHash('sha512').update(before).update(text).digest();
}

/** Returns the state before the first token of a prompt. */
export function initialState(lineage: string): Buffer {
  return crypto.createHash('sha512').update(lineage).digest();
}

export function countTokens(text: Buffer): number {
  return Math.ceil(text.length / BYTES_PER_TOKEN);
}

/** Returns the text of the answer's token at an offset, which follows from the context. */
export function decodeToken(context: Buffer, offset: number): string {
  const digest = crypto.createHash('sha256').update(context).update(String(offset)).digest('hex');
  return ` ${digest.slice(0, 5)}`;
}

/** Evicts the least recently used piece first. */
export type PrefixCache = {
  get(name: string): Buffer | undefined;
  put(piece: Piece): void;
  names(): readonly string[];
  clear(): void;
};

export function createPrefixCache(
  capacity: number,
  onAdded: (name: string) => void,
  onEvicted: (name: string) => void,
): PrefixCache {
  const pieces = new Map<string, Buffer>();
  const evict = (name: string) => {
    pieces.delete(name);
    onEvicted(name);
  };
  return {
    get(name) {
      const content = pieces.get(name);
      if (!content) return undefined;
      pieces.delete(name);
      pieces.set(name, content);
      return content;
    },
    put({ name, content }) {
      const isNew = !pieces.has(name);
      pieces.delete(name);
      pieces.set(name, content);
      if (isNew) onAdded(name);
      const [oldest] = pieces.keys();
      if (pieces.size > capacity && oldest !== undefined) evict(oldest);
    },
    names: () => [...pieces.keys()],
    clear: () => [...pieces.keys()].forEach(evict),
  };
}
