/**
 * What requests cost in memory. Measured on Node.js 20 with `--expose-gc`, in bytes of heap: 1,574 for a
 * request without headers, 105 for a header line with a name of three characters, 48 for the same line in a
 * head that is not complete.
 */
import type * as http from 'node:http';

/** A request, its response, and what the front end keeps for both. */
const REQUEST_BYTES = 4_096;
const HEADER_LINE_BYTES = 128;
/** A line has at least four bytes on the wire. */
const UNPARSED_FACTOR = 16;
/** Size line and line ends of a chunk, at least. */
export const CHUNK_FRAMING_BYTES = 5;

/** Approximate size of the header block on the wire, in bytes. */
export function wireBytes({ rawHeaders, url = '' }: http.IncomingMessage): number {
  return rawHeaders.reduce((sum, each) => sum + each.length + 2, url.length);
}

/** A request whose head is complete, without its body. */
export function ofRequest(request: http.IncomingMessage): number {
  const lines = request.rawHeaders.length / 2;
  return REQUEST_BYTES + lines * HEADER_LINE_BYTES + wireBytes(request);
}

/** Bytes that were read and belong to no complete head and no body: half a head, or trailers. */
export function ofUnparsed(bytes: number): number {
  return Math.max(0, bytes) * UNPARSED_FACTOR;
}
