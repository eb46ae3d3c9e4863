/** How fast an upstream answers one request: a request may ask for its own pace in its headers. */
import type * as http from 'node:http';

export type StreamPace = { events: number; pauseMs: number };

export const PACE_HEADERS = {
  delayMs: 'stand-in-delay-ms',
  events: 'stand-in-events',
  pauseMs: 'stand-in-pause-ms',
} as const;

export function streamPaceOf(headers: http.IncomingHttpHeaders, usual: StreamPace): StreamPace {
  return {
    events: Number(headers[PACE_HEADERS.events] ?? usual.events),
    pauseMs: Number(headers[PACE_HEADERS.pauseMs] ?? usual.pauseMs),
  };
}

/** Calls back at once, unless the request asks for a delay of its answer. */
export function afterDelay(headers: http.IncomingHttpHeaders, callback: () => void): void {
  const delayMs = Number(headers[PACE_HEADERS.delayMs] ?? 0);
  if (delayMs === 0) callback();
  else setTimeout(callback, delayMs);
}
