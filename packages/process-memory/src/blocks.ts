/**
 * Copies of received bytes in blocks that are used again. A received chunk keeps the whole read buffer in
 * memory, an object for each costs a hundred times a one-byte chunk, and blocks that were kept for a while
 * would wait for a collection of all.
 */
export type Pool = {
  /** `expectedBytes` is the length of the body if it is known; it is allocated with the first chunk. */
  writer(expectedBytes?: number): Writer;
};

/** Collects the bytes of one body. It takes nothing more once it has been finished or discarded. */
export type Writer = {
  /** Returns the number of bytes of memory that were added for the chunk. */
  append(chunk: Buffer): number;
  /** All bytes in one buffer. */
  finish(): Buffer;
  discard(): void;
};

const FIRST_BYTES = 1_024;
export const BLOCK_BYTES = 65_536;

/** Keeps blocks for later use up to `maxIdleBytes`. */
export function createPool(maxIdleBytes: number): Pool {
  const idle: Buffer[] = [];

  function allocate(bytes: number): Buffer {
    return (bytes === BLOCK_BYTES ? idle.pop() : undefined) ?? Buffer.allocUnsafeSlow(bytes);
  }

  function release(blocks: readonly Buffer[]): void {
    blocks
      .filter(({ length }) => length === BLOCK_BYTES)
      .slice(0, Math.floor(maxIdleBytes / BLOCK_BYTES) - idle.length)
      .forEach((block) => idle.push(block));
  }

  return {
    writer(expectedBytes = 0) {
      const blocks: Buffer[] = [];
      let bytes = 0;
      let leftOfLast = 0;

      function add(): number {
        const last = blocks.at(-1);
        const size = last
          ? Math.min(BLOCK_BYTES, last.length * 2)
          : Math.max(FIRST_BYTES, expectedBytes);
        blocks.push(allocate(size));
        leftOfLast = size;
        return size;
      }

      function discard(): void {
        release(blocks);
        blocks.length = 0;
        leftOfLast = 0;
      }

      return {
        append(chunk) {
          let added = 0;
          for (let at = 0; at < chunk.length;) {
            if (leftOfLast === 0) added += add();
            const last = blocks.at(-1) ?? Buffer.alloc(0);
            const copied = chunk.copy(last, last.length - leftOfLast, at);
            leftOfLast -= copied;
            at += copied;
          }
          bytes += chunk.length;
          return added;
        },
        finish() {
          const [first] = blocks;
          if (first && blocks.length === 1 && expectedBytes > 0) {
            blocks.length = 0;
            return first.subarray(0, bytes);
          }
          const body = Buffer.concat(blocks, bytes);
          discard();
          return body;
        },
        discard,
      };
    },
  };
}
