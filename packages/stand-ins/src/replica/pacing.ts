/** How an upstream answers one request: a request may ask for its own pace and sizes in its headers. */
import type * as http from 'node:http';

export type StreamPace = { events: number; pauseMs: number };
export type Stream = StreamPace & { eventBytes: number };

export const PACE_HEADERS = {
  delayMs: 'stand-in-delay-ms',
  events: 'stand-in-events',
  pauseMs: 'stand-in-pause-ms',
  answerBytes: 'stand-in-answer-bytes',
  eventBytes: 'stand-in-event-bytes',
} as const;

export function streamPaceOf(headers: http.IncomingHttpHeaders, usual: StreamPace): Stream {
  return {
    events: Number(headers[PACE_HEADERS.events] ?? usual.events),
    pauseMs: Number(headers[PACE_HEADERS.pauseMs] ?? usual.pauseMs),
    eventBytes: Number(headers[PACE_HEADERS.eventBytes] ?? 0),
  };
}

/** Fills up a body to the size that the request asks for. */
export function paddedBody(headers: http.IncomingHttpHeaders, body: string): string {
  return body.padEnd(Number(headers[PACE_HEADERS.answerBytes] ?? 0), '.');
}

/** Calls back at once, unless the request asks for a delay of its answer. */
export function afterDelay(headers: http.IncomingHttpHeaders, callback: () => void): void {
  const delayMs = Number(headers[PACE_HEADERS.delayMs] ?? 0);
  if (delayMs === 0) callback();
  else setTimeout(callback, delayMs);
}
