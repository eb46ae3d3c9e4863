/** Reads the bodies of requests into one buffer each. */
import type * as http from 'node:http';

import * as costs from './costs.js';
import type * as turns from './turns.js';

export type Outcome = { kind: 'whole'; body: Buffer } | { kind: 'too-large'; bytes: number };

const FIRST_BYTES = 1_024;
const MAX_BLOCK_BYTES = 65_536;

type Blocks = { full: Buffer[]; last: Buffer; usedOfLast: number };

/**
 * Calls back once, unless the request ends before its body does. Chunks are copied into blocks: a small one
 * would keep the whole read buffer in memory, and an object for each costs a hundred times a one-byte chunk.
 */
export function read(
  request: http.IncomingMessage,
  turn: turns.Turn,
  maxBytes: () => number,
  callback: (outcome: Outcome) => void,
): void {
  const state = { blocks: noBlocks(), bytes: 0, isOpen: true };
  function close(): void {
    Object.assign(state, { isOpen: false, blocks: noBlocks() });
  }
  turn.whenOver(close);
  request.on('data', (chunk: Buffer) => {
    turn.parsed(chunk.length + costs.CHUNK_FRAMING_BYTES);
    if (!state.isOpen) return;
    const bytes = state.bytes + chunk.length;
    if (!turn.isTaken()) close();
    else if (bytes > maxBytes()) {
      close();
      callback({ kind: 'too-large', bytes });
    } else {
      state.bytes = bytes;
      turn.hold(append(state.blocks, chunk));
    }
  });
  request.on('end', () => {
    if (!state.isOpen) return;
    const { full, last, usedOfLast } = state.blocks;
    const body = Buffer.concat([...full, last.subarray(0, usedOfLast)]);
    close();
    turn.kept(body.length);
    callback({ kind: 'whole', body });
  });
}

function noBlocks(): Blocks {
  return { full: [], last: Buffer.alloc(0), usedOfLast: 0 };
}

/** Returns the number of bytes that were allocated. */
function append(blocks: Blocks, chunk: Buffer): number {
  const copied = chunk.copy(blocks.last, blocks.usedOfLast);
  Object.assign(blocks, { usedOfLast: blocks.usedOfLast + copied });
  if (copied === chunk.length) return 0;
  const size = Math.min(MAX_BLOCK_BYTES, Math.max(FIRST_BYTES, blocks.last.length * 2));
  const added = Buffer.allocUnsafeSlow(Math.max(size, chunk.length - copied));
  if (blocks.usedOfLast > 0) blocks.full.push(blocks.last);
  Object.assign(blocks, { last: added, usedOfLast: chunk.copy(added, 0, copied) });
  return added.length;
}
