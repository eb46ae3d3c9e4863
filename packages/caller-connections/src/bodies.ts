/** Reads the bodies of requests into one buffer each. */
import type * as http from 'node:http';

import type * as processMemory from '@medlarweir/process-memory';

import * as costs from './costs.js';
import type * as turns from './turns.js';

export type Outcome = { kind: 'whole'; body: Buffer } | { kind: 'too-large'; bytes: number };

export type Reader = {
  /** Calls back once, unless the request ends before its body does. */
  read(
    request: http.IncomingMessage,
    turn: turns.Turn,
    maxBytes: () => number,
    callback: (outcome: Outcome) => void,
  ): void;
};

export function createReader(pool: processMemory.blocks.Pool): Reader {
  return {
    read(request, turn, maxBytes, callback) {
      const writer = pool.writer();
      const state = { bytes: 0, isOpen: true };
      function close(): void {
        state.isOpen = false;
        writer.discard();
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
          turn.hold(writer.append(chunk));
        }
      });
      request.on('end', () => {
        if (!state.isOpen) return;
        state.isOpen = false;
        const body = writer.finish();
        turn.kept(body.length);
        callback({ kind: 'whole', body });
      });
    },
  };
}
