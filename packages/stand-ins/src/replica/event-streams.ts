/** Writes a stream of events, and ends it as the fault of the upstream says. */
import type * as http from 'node:http';

import type * as replica from './replica.js';
import * as resumptions from './resumptions.js';

/**
 * `proper`: chunked, with its end. `reset-inside`: chunked, and destroyed inside the second event. The
 * others end with their connection: after all events, before the first, or inside the first.
 */
export type Ending = 'proper' | 'reset-inside' | 'unframed' | 'unframed-empty' | 'unframed-inside';

export type Stream = {
  after: number;
  events: number;
  pauseMs: number;
  /** What the data of each event is filled up to. */
  eventBytes: number;
  ending: Ending;
};

export function endingOf(fault: replica.Fault): Ending {
  if (fault === 'cut' || resumptions.isResumption(fault)) return 'reset-inside';
  if (fault === 'close-delimited') return 'unframed';
  if (fault === 'close-delimited-empty') return 'unframed-empty';
  return fault === 'close-delimited-half' ? 'unframed-inside' : 'proper';
}

/** Sends the head of a stream. */
export function begin(
  response: http.ServerResponse,
  headers: Readonly<Record<string, string>>,
): void {
  response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' });
  response.flushHeaders();
}

/** Streams the events that come after the id `after`. */
export function write(
  response: http.ServerResponse,
  headers: Readonly<Record<string, string>>,
  { after, events, pauseMs, eventBytes, ending }: Stream,
): void {
  const isUnframed = ending.startsWith('unframed');
  // Without chunks and with `close`, Node.js writes neither of the framing headers.
  if (isUnframed) Object.assign(response, { useChunkedEncodingByDefault: false });
  const connection = isUnframed ? { connection: 'close' } : {};
  response.writeHead(200, { ...headers, ...connection, 'content-type': 'text/event-stream' });
  response.flushHeaders();
  const first = after + 1;
  const send = (at: number) => {
    if (response.destroyed) return;
    if (ending === 'reset-inside' && at === first + 1) {
      response.write(`id: ${at}\ndata: half`, () => response.destroy());
      return;
    }
    if (ending === 'unframed-inside') response.write(`id: ${at}\ndata: half`);
    if (at > events || ending === 'unframed-empty' || ending === 'unframed-inside') {
      response.end();
      return;
    }
    response.write(`id: ${at}\ndata: ${String(at).padEnd(eventBytes, '.')}\n\n`);
    setTimeout(() => send(at + 1), pauseMs);
  };
  send(first);
}
