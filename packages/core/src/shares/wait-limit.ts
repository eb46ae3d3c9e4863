/**
 * The predicted wait up to which a request is started. As load rises, the ranks and client accounts with
 * the least claim reach their limit first, so that the queue at the upstreams stays short enough for the
 * others. Every limit is above 0, so upstreams are never left idle while anybody demands work.
 */

import type * as ranks from './ranks.js';

/** Share of the latency target that queued work may take; reading the prompt needs the rest. */
const WAIT_SHARE = 0.75;
/** The same for a stream that is resumed: few upstreams may have its software version. */
const RESUMED_WAIT_SHARE = 2;
/** An account that is above its fair share by `FULL_OVERUSE` or more has this part of the limit. */
const MIN_OVERUSE_FACTOR = 0.3;
/**
 * The queue changes by a whole prompt at a time, which is up to a quarter of the limit, so a slower fall would
 * leave the others no room.
 */
const FULL_OVERUSE = 0.2;
/** Part of the limit that is left to a rank for each more urgent rank that demands work. */
const RANK_FACTOR = 0.8;
/** Part of the limit that is kept for callers that return at their assigned time, once many are refused. */
const MAX_HELD_FACTOR = 0.15;
/** Share of refused work at which all of that part is kept. */
const FULLY_CONTENDED_SHARE = 0.1;
/** Share of the time left until the target that may be planned; the rest is for errors of prediction. */
const TIMELY_SHARE = 0.8;
/** Lower shares of work are too uncertain to count on. */
const MIN_SHARE_AHEAD = 0.1;
/** No limit is a smaller part of its usual value; a shorter queue could run dry between two updates. */
const MIN_FACTOR = 0.25;

/** What a request may claim, whichever upstream it is sent to. */
export type Claim = {
  latencyTargetMs: number;
  isResumed: boolean;
  /** Part by which the client account is above its fair share. */
  overuse: number;
  /** Its rank among those that demand work. */
  rank: ranks.Standing;
  /** Whether its caller was told to return now, or would have been. */
  isReturn: boolean;
  /** Share of the work asked for lately that was refused. */
  refusedShare: number;
  /** Time until the latency target has passed; negative afterwards. */
  untilTargetMs: number;
  /** Time until its caller gives up. */
  untilDeadlineMs: number;
  /** Time until this instance may start work of the account while many are refused. */
  pacedForMs: number;
  /** Whether other requests wait here that can still be in time. */
  hasOthersWaiting: boolean;
};

/** The limit while there is no contention, in ms. */
export function usualMs({
  latencyTargetMs,
  isResumed,
}: Pick<Claim, 'latencyTargetMs' | 'isResumed'>): number {
  return latencyTargetMs * (isResumed ? RESUMED_WAIT_SHARE : WAIT_SHARE);
}

/** Whether other work waits, here or with callers that were refused lately. */
export function isContended({ hasOthersWaiting, refusedShare }: Claim): boolean {
  return hasOthersWaiting || isMuchRefused(refusedShare);
}

export function isMuchRefused(refusedShare: number): boolean {
  return refusedShare >= FULLY_CONTENDED_SHARE;
}

/**
 * Whether the first token can no longer come in time though it could have at first: a prompt that takes longer
 * to read than the target is not late by waiting, and would never be started otherwise.
 */
export function isLate(claim: Claim, readMs: number): boolean {
  return readMs > claim.untilTargetMs && readMs <= claim.latencyTargetMs;
}

/** Whether the caller gives up before the first token can come, even without any wait. */
export function isHopeless(claim: Claim, readMs: number): boolean {
  return readMs >= claim.untilDeadlineMs;
}

/**
 * The limit in ms, at most `usualMs`, and equal to it when nothing is contended. `readMs`: time that the upstream
 * takes for the prompt itself.
 */
export function maxWaitMs(claim: Claim, readMs: number): number {
  const { isResumed, untilDeadlineMs, hasOthersWaiting } = claim;
  const usual = usualMs(claim);
  const leftMs = untilDeadlineMs - readMs;
  // The caller of a resumed stream holds a part that only the rest makes worth anything.
  if (isResumed) return Math.min(usual, leftMs);
  if (hasOthersWaiting && isLate(claim, readMs)) return Math.min(0, leftMs);
  if (isPaced(claim)) return Math.min(leftMs, -claim.pacedForMs);
  const limit = Math.min(usual, Math.max(usual * MIN_FACTOR, contendedMs(claim, readMs)));
  return Math.min(leftMs, ofAllWork(claim, limit));
}

/** Less urgent work makes room for a rank that is admitted before it; its starts count all the same. */
function isPaced({ rank, refusedShare, pacedForMs }: Claim): boolean {
  return rank.outrankedWaitMs === 0 && isMuchRefused(refusedShare) && pacedForMs > 0;
}

/**
 * The limit as a wait for all work at the upstream. Upstreams admit more urgent work first, so that a rank waits for
 * its part of the work only. Above what less urgent ranks accept, the work cannot be theirs.
 */
function ofAllWork({ rank: { shareAhead, outrankedWaitMs } }: Claim, limitMs: number): number {
  if (outrankedWaitMs <= limitMs) return limitMs;
  return Math.min(outrankedWaitMs, limitMs / Math.max(MIN_SHARE_AHEAD, shareAhead));
}

function contendedMs(claim: Claim, readMs: number): number {
  const { overuse, rank, isReturn, refusedShare, untilTargetMs } = claim;
  const contention = Math.min(1, refusedShare / FULLY_CONTENDED_SHARE);
  const held = isReturn ? 0 : contention * MAX_HELD_FACTOR;
  const shareFactor = 1 - (1 - MIN_OVERUSE_FACTOR) * Math.min(1, overuse / FULL_OVERUSE);
  const sharedMs = usualMs(claim) * shareFactor * RANK_FACTOR ** rank.ranksAbove * (1 - held);
  // Work that comes too late to count would delay work that can still be in time.
  return isContended(claim) ? Math.min(sharedMs, untilTargetMs * TIMELY_SHARE - readMs) : sharedMs;
}
