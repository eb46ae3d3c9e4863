/**
 * Decides who waits for a place and who is refused at once, and when those who are refused come back.
 * A request for which no place will be free in time is refused before it has waited: its caller can
 * still go elsewhere, or come back when the work ahead has been done.
 */
import * as rendezvous from '../membership/rendezvous.js';

/**
 * Fraction of the latency target for which a request may wait for a place; a later refusal costs the
 * caller more.
 */
const MAX_QUEUE_FRACTION = 1 / 8;
/** The same for a stream that is resumed, whose caller has waited for its first part before. */
const MAX_RESUMED_QUEUE_FRACTION = 1;
/** Earliest return of a caller: long enough for placements to change. */
const MIN_RETRY_AFTER_MS = 250;
/** Returns are spread over this share of the time, so that callers refused together do not meet again. */
const RETRY_SPREAD = 0.5;

/** A request that has found no place. */
export type Unplaced = {
  requestId: string;
  isResumed: boolean;
  waitedMs: number;
  latencyTargetMs: number;
  /** Expected time until an upstream can take the request; undefined if that cannot be told. */
  freeInMs: number | undefined;
};

export type Verdict = { kind: 'wait' } | { kind: 'refuse'; retryAfterMs: number };

export function judge(unplaced: Unplaced): Verdict {
  const { waitedMs, freeInMs = 0 } = unplaced;
  const mayWaitMs = maxQueueMs(unplaced) - waitedMs;
  if (mayWaitMs > 0 && freeInMs <= mayWaitMs) return { kind: 'wait' };
  return { kind: 'refuse', retryAfterMs: retryAfterMs(unplaced) };
}

/** Time for which a request may wait for a place. */
export function maxQueueMs({
  isResumed,
  latencyTargetMs,
}: Pick<Unplaced, 'isResumed' | 'latencyTargetMs'>): number {
  return latencyTargetMs * (isResumed ? MAX_RESUMED_QUEUE_FRACTION : MAX_QUEUE_FRACTION);
}

/** When the caller of a refused request comes back. */
export function retryAfterMs({
  requestId,
  freeInMs = 0,
}: Pick<Unplaced, 'requestId' | 'freeInMs'>): number {
  const spread = 1 + RETRY_SPREAD * rendezvous.hashFraction('return', requestId);
  return Math.round(Math.max(MIN_RETRY_AFTER_MS, freeInMs) * spread);
}
