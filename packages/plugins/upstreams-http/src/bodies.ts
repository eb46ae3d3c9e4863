/** Reads whole response bodies within limits: a faulty upstream may send bytes without end. */

/** Bytes of bodies that are being read; each read updates its part. */
export type Memory = { bufferedBytes: number };

const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
/** Largest sum of the bodies that are read at once. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

/** Throws if a limit is passed, which also closes the connection. */
export async function read(body: AsyncIterable<Uint8Array>, memory: Memory): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  try {
    for await (const chunk of body) {
      chunks.push(chunk);
      bytes += chunk.length;
      Object.assign(memory, { bufferedBytes: memory.bufferedBytes + chunk.length });
      if (bytes > MAX_RESPONSE_BYTES || memory.bufferedBytes > MAX_BUFFERED_BYTES) {
        throw new Error('response too large');
      }
    }
    return Buffer.concat(chunks);
  } finally {
    Object.assign(memory, { bufferedBytes: memory.bufferedBytes - bytes });
  }
}
