/** Answers that never end: bytes follow until the other side closes the connection. */
import type * as net from 'node:net';

export const ENDLESS_FAULTS = [
  'endless-head',
  'endless-interim-heads',
  'endless-body',
  'endless-chunk-extension',
  'endless-comments',
  'endless-event',
  'endless-surplus',
] as const;

export type EndlessFault = (typeof ENDLESS_FAULTS)[number];

export function isEndless(fault: string): fault is EndlessFault {
  return (ENDLESS_FAULTS as readonly string[]).includes(fault);
}

const BLOCK_BYTES = 16_384;

type Answer = { opening: string; block: string };

/** `headerLines`: the headers of a proper answer, each with its line break. */
export function answer(socket: net.Socket, fault: EndlessFault, headerLines: string): void {
  const { opening, block } = answerOf(fault, headerLines);
  socket.write(opening);
  writeUntilClosed(socket, block.repeat(Math.ceil(BLOCK_BYTES / block.length)));
}

function answerOf(fault: EndlessFault, headerLines: string): Answer {
  const ok = `HTTP/1.1 200 OK\r\n${headerLines}`;
  const chunked = `${ok}transfer-encoding: chunked\r\n\r\n`;
  const events = `${ok}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`;
  switch (fault) {
    case 'endless-head':
      return { opening: ok, block: 'x-filler: more of the same\r\n' };
    case 'endless-interim-heads':
      return { opening: '', block: 'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n' };
    case 'endless-body':
      return { opening: chunked, block: chunk('x'.repeat(1_024)) };
    case 'endless-chunk-extension':
      return { opening: `${chunked}5;`, block: 'extension-without-end' };
    case 'endless-comments':
      return { opening: events + chunk('id: 1\ndata: 1\n\n'), block: chunk(': still here\n\n') };
    case 'endless-event':
      return { opening: events + chunk('id: 1\ndata: '), block: chunk('more of the same event') };
    case 'endless-surplus':
      return { opening: `${ok}content-length: 2\r\n\r\nok`, block: 'not an answer' };
    default:
      throw new Error(`unexpected fault: ${JSON.stringify(fault satisfies never)}`);
  }
}

function chunk(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

function writeUntilClosed(socket: net.Socket, block: string): void {
  const write = () => {
    if (socket.destroyed) return;
    if (socket.write(block)) setImmediate(write);
    else socket.once('drain', write);
  };
  write();
}
