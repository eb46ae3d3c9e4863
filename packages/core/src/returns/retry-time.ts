/** When the caller of a refused request is told to return. */
import * as rendezvous from '../membership/rendezvous.js';
import * as slots from './slots.js';

/** Callers heed `Retry-After` up to this share of the time that they have left. */
const HEEDED_SHARE = 1 / 3;
/** Earliest return of a caller: long enough for placements to change. */
export const MIN_RETRY_AFTER_MS = 250;
/** Returns are spread over the middle of the slot, where errors of clocks and delays do not matter. */
const SPREAD_FROM = 0.2;
const SPREAD_OVER = 0.5;

export type Refused = {
  /** Name of what the request asks for; see `gateway/request-content`. */
  content: string;
  routeTimeoutMs: number;
  /** Time until the caller gives up. */
  remainingMs: number;
  /** Expected time until an upstream can take the request; undefined if that cannot be told. */
  freeInMs: number | undefined;
};

export type RetryTime = {
  retryAfterMs: number;
  /** Whether the request has precedence then. */
  hasPrecedence: boolean;
};

/**
 * The first slot of the request after capacity is expected to be free; the last moment that the caller
 * heeds if there is none before it.
 */
export function assign(
  { content, routeTimeoutMs, remainingMs, freeInMs = 0 }: Refused,
  wallMs: number,
): RetryTime {
  const latestMs = Math.floor(Math.max(0, remainingMs) * HEEDED_SHARE);
  const earliestMs = Math.min(latestMs, Math.max(MIN_RETRY_AFTER_MS, freeInMs));
  const spread = SPREAD_FROM + SPREAD_OVER * rendezvous.hashFraction('return-moment', content);
  const intoSlotMs = spread * slots.lengthMs(routeTimeoutMs);
  const slotMs = slots.untilSlotMs(content, routeTimeoutMs, wallMs, earliestMs - intoSlotMs);
  const retryAfterMs = Math.round(slotMs + intoSlotMs);
  if (retryAfterMs <= latestMs) return { retryAfterMs, hasPrecedence: true };
  return {
    retryAfterMs: latestMs,
    hasPrecedence: slots.hasPrecedence(content, routeTimeoutMs, wallMs + latestMs),
  };
}
