/** A crowd of clients that nobody controls: each connection writes the same odd bytes and stays open. */
import * as net from 'node:net';
import * as timers from 'node:timers/promises';

import * as pacing from './replica/pacing.js';

/** What each connection of a crowd sends. None of it breaks a limit on the size of a request. */
export type Kind =
  /** A head of very many short lines, and a body that stops short of its end. */
  | 'short-lines'
  /** The same, with lines without a value, with repeated names and with long names. */
  | 'odd-lines'
  /** A chunked body in chunks of one byte that stops short of its end. */
  | 'tiny-chunks'
  /** A chunked body in large chunks that stops one byte short of the limit. */
  | 'large-chunks'
  /** Requests without the usual headers behind each other; the responses stay unread. */
  | 'bare-pipeline'
  /** Requests behind each other that are no HTTP/1.1 request, but for the first. */
  | 'invalid-pipeline'
  /** Whole requests behind each other; the responses stay unread. */
  | 'valid-pipeline'
  /** Half a head of very many short lines. */
  | 'half-heads'
  /** A body with a length that stops one byte short of it. */
  | 'stalled-bodies'
  /** A whole body for an upstream that answers late. */
  | 'whole-bodies'
  /** Requests behind each other for large responses, which stay unread. */
  | 'large-answers'
  /** A stream of large events, which stays unread. */
  | 'large-streams';

export const KINDS: readonly Kind[] = [
  'short-lines',
  'odd-lines',
  'tiny-chunks',
  'large-chunks',
  'bare-pipeline',
  'invalid-pipeline',
  'valid-pipeline',
  'half-heads',
  'stalled-bodies',
  'whole-bodies',
  'large-answers',
  'large-streams',
];

/** An ordinary request to the address, as its start line and its header lines. */
export type Ordinary = { startLine: string; headerLines: readonly string[] };

export type Crowd = { end(): void };

/** Below `maxHeaderBytes`, by any way of counting the bytes of a line. */
const HEAD_BYTES = 12_000;
const BODY_BYTES = 4 * 1024 * 1024 - 1;
const TINY_CHUNKS = 40_000;
const LARGE_CHUNK_BYTES = 256 * 1024;
const PIPELINED_BARE = 20_000;
const PIPELINED_WHOLE = 2_000;
const PIPELINED_LARGE = 8;
const LARGE_ANSWER_BYTES = 2 * 1024 * 1024;
const LARGE_EVENTS = 64;
const LARGE_EVENT_BYTES = 32 * 1024;
/** Below the time-out of the requests. */
const LATE_ANSWER_MS = 2_000;
/** The longest that the system may take to accept what the crowd writes. */
const WRITE_TIMEOUT_MS = 10_000;

const BARE = 'GET / HTTP/1.1\r\n\r\n';
const CHUNKED = 'transfer-encoding: chunked';

/** Distinct names of three characters. */
function nameOf(at: number): string {
  return at.toString(36).padStart(3, 'z');
}

function linesUpTo(bytes: number, lineOf: (at: number) => string): string {
  const lines: string[] = [];
  for (let used = 0, at = 0; used < bytes; at += 1) {
    const line = `${lineOf(at)}\r\n`;
    lines.push(line);
    used += line.length + 2;
  }
  return lines.join('');
}

const ODD_LINES = [
  (at: number) => `${nameOf(at)}:`,
  () => 'a: b',
  (at: number) => `${nameOf(at).repeat(40)}: ${at}`,
  (at: number) => `${nameOf(at)}:${' '.repeat(20)}${at}`,
];

function oddLine(at: number): string {
  return ODD_LINES[at % ODD_LINES.length]?.(at) ?? '';
}

function chunk(bytes: number): string {
  return `${bytes.toString(16)}\r\n${'x'.repeat(bytes)}\r\n`;
}

function lengthOf(bytes: number): string {
  return `content-length: ${bytes}`;
}

/** The bytes that each connection of the crowd writes. */
export function bytesOf(kind: Kind, { startLine, headerLines }: Ordinary): Buffer {
  const head = (...added: readonly string[]) =>
    `${[startLine, ...headerLines, ...added].join('\r\n')}\r\n`;
  const incomplete = `content-length: 1000\r\n\r\n${'x'.repeat(10)}`;
  switch (kind) {
    case 'short-lines':
      return Buffer.from(
        `${head()}${linesUpTo(HEAD_BYTES, (at) => `${nameOf(at)}:`)}${incomplete}`,
      );
    case 'odd-lines':
      return Buffer.from(`${head()}${linesUpTo(HEAD_BYTES, oddLine)}${incomplete}`);
    case 'tiny-chunks':
      return Buffer.from(`${head(CHUNKED)}\r\n${chunk(1).repeat(TINY_CHUNKS)}`);
    case 'large-chunks': {
      const whole = Math.floor(BODY_BYTES / LARGE_CHUNK_BYTES);
      const chunks = chunk(LARGE_CHUNK_BYTES).repeat(whole);
      return Buffer.from(`${head(CHUNKED)}\r\n${chunks}${chunk(BODY_BYTES % LARGE_CHUNK_BYTES)}`);
    }
    case 'bare-pipeline':
      return Buffer.from(BARE.repeat(PIPELINED_BARE));
    case 'invalid-pipeline':
      return Buffer.from(`${BARE}${'GET / HTTP/1.0 x\r\n:\r\n\r\n'.repeat(PIPELINED_BARE)}`);
    case 'valid-pipeline':
      return Buffer.from(`${head('content-length: 0')}\r\n`.repeat(PIPELINED_WHOLE));
    case 'half-heads':
      return Buffer.from(`${head()}${linesUpTo(HEAD_BYTES, (at) => `${nameOf(at)}:`)}`);
    case 'stalled-bodies':
      return Buffer.from(`${head(lengthOf(BODY_BYTES + 1))}\r\n${'x'.repeat(BODY_BYTES)}`);
    case 'whole-bodies': {
      const late = `${pacing.PACE_HEADERS.delayMs}: ${LATE_ANSWER_MS}`;
      return Buffer.from(`${head(lengthOf(BODY_BYTES), late)}\r\n${'x'.repeat(BODY_BYTES)}`);
    }
    case 'large-answers': {
      const large = `${pacing.PACE_HEADERS.answerBytes}: ${LARGE_ANSWER_BYTES}`;
      return Buffer.from(`${head(lengthOf(0), large)}\r\n`.repeat(PIPELINED_LARGE));
    }
    case 'large-streams': {
      const large = [
        `${pacing.PACE_HEADERS.events}: ${LARGE_EVENTS}`,
        `${pacing.PACE_HEADERS.pauseMs}: 0`,
        `${pacing.PACE_HEADERS.eventBytes}: ${LARGE_EVENT_BYTES}`,
      ];
      return Buffer.from(`${head(lengthOf(0), ...large)}\r\n`);
    }
    default:
      throw new Error(`unexpected kind: ${JSON.stringify(kind satisfies never)}`);
  }
}

/**
 * Opens the connections and resolves once the system has accepted the bytes of each, or the connection has
 * ended, or the time for it is over. Nothing that comes back is read. A connection that ends is opened again
 * at once, up to `returns` times.
 */
export async function gather(
  address: string,
  connections: number,
  bytes: Buffer,
  returns = 0,
): Promise<Crowd> {
  const [host = '', port] = address.split(':');
  const sockets = new Set<net.Socket>();
  const state = { isOver: false };
  const write = (returnsLeft: number): Promise<void> => {
    const socket = net.connect({ host, port: Number(port) });
    socket.pause();
    sockets.add(socket);
    return new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, WRITE_TIMEOUT_MS);
      const settle = () => {
        clearTimeout(timer);
        resolve();
      };
      const comeBack = () => {
        sockets.delete(socket);
        if (returnsLeft > 0 && !state.isOver) void write(returnsLeft - 1).then(settle);
        else settle();
      };
      socket.on('error', () => undefined);
      socket.on('close', comeBack);
      socket.write(bytes, (error) => {
        if (!error) settle();
      });
    });
  };
  await Promise.all(Array.from({ length: connections }, () => write(returns)));
  return {
    end() {
      state.isOver = true;
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

/** How long an answer may be under way. */
const ANSWER_TIMEOUT_MS = 10_000;

/** Whether a request on a new connection is answered with 200; it has to close its connection. */
export function isAnswered(address: string, request: string): Promise<boolean> {
  const [host = '', port] = address.split(':');
  return new Promise((resolve) => {
    const received = { text: '' };
    const socket = net.connect({ host, port: Number(port) }, () => socket.write(request));
    socket.setTimeout(ANSWER_TIMEOUT_MS, () => socket.destroy());
    socket.on('data', (data) => {
      received.text += data.toString('latin1');
    });
    socket.on('error', () => undefined);
    socket.on('close', () => resolve(received.text.startsWith('HTTP/1.1 200')));
  });
}

const RETRY_MS = 100;

/** Asks until an answer comes; `timed-out` after a time that is generous for any machine. */
export async function awaitAnswer(
  address: string,
  request: string,
  timeoutMs: number,
): Promise<'answered' | 'timed-out'> {
  const endsAtMs = performance.now() + timeoutMs;
  while (performance.now() < endsAtMs) {
    if (await isAnswered(address, request)) return 'answered';
    await timers.setTimeout(RETRY_MS);
  }
  return 'timed-out';
}

/** An ordinary request as text that closes its connection. */
export function textOf({ startLine, headerLines }: Ordinary): string {
  const lines = [startLine, ...headerLines, 'connection: close', 'content-length: 0'];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

export type Limits = { headBytes: number; bodyBytes: number };

/**
 * A request at its limits: a head in the shortest lines, and a body, whose response is as large. It
 * closes its connection.
 */
export function largestText(ordinary: Ordinary, { headBytes, bodyBytes }: Limits): string {
  const { startLine, headerLines } = ordinary;
  const lines = [
    startLine,
    ...headerLines,
    'connection: close',
    lengthOf(bodyBytes),
    `${pacing.PACE_HEADERS.answerBytes}: ${bodyBytes}`,
  ];
  const head = `${lines.join('\r\n')}\r\n`;
  const filled = linesUpTo(headBytes - head.length, (at) => `${nameOf(at)}:`);
  return `${head}${filled}\r\n${'x'.repeat(bodyBytes)}`;
}
