/**
 * Limits the rate at which all instances together send to one upstream. The rate is divided among a few
 * instances chosen by rendezvous hashing, so no coordination is needed. Each has a token bucket, whose
 * level stays when the share changes: what is spent stays spent.
 */
import type * as routes from '../gateway/routes.js';
import * as rendezvous from '../membership/rendezvous.js';
import type * as fleet from './state.js';
import type * as upstreams from './upstream.js';

/** Why the rate is limited. Several limits may hold at once. */
export type Reason = 'cold' | 'limited';

/** The rate of all instances together. In any window, `overrun` times as many and `slack` are allowed. */
export type RateLimit = {
  reason: Reason;
  perS: number;
  windowS: number;
  overrun: number;
  slack: number;
};

/** This instance's part of a limit; `capacity` is the number of requests that may come in a burst. */
export type Share = { perS: number; capacity: number };

/** Updated in place. */
export type Bucket = {
  tokens: number;
  filledAtMs: number;
  share: Share;
  /** What the share was worked out from. */
  basis: { perS: number; senders: readonly string[] };
};

/**
 * Part of the requests beyond the rate that the bound allows. Instances may briefly disagree about the
 * members, and links may bunch requests; the rest leaves room for that.
 */
const BURST_SHARE = 0.6;
/** Requests that a sender may have saved up; with one, a sender that is idle for a moment loses its part. */
const CAPACITY = 2;
/** A new bucket: the bound has room for one request of each sender. */
const INITIAL_TOKENS = 1;
/** What upstreams bear beyond the limit that they name. */
const NAMED_LIMIT_BOUND = { windowS: 4, overrun: 1.5, slack: 5 };
const NONE: readonly RateLimit[] = [];
const NO_SHARE: Share = { perS: 0, capacity: 0 };
/** Tolerance for sums of fractions of a request. */
const EPSILON = 1e-6;

/** The limits that hold for the upstream at present; most have none. */
export function limitsOf(
  upstream: upstreams.Upstream,
  { coldPerS }: routes.Service,
  { coldOverrun, coldSlack }: fleet.Bounds,
  nowMs: number,
): readonly RateLimit[] {
  const { namedLimit } = upstream;
  const isLimitedAsCold = coldPerS > 0 && isCold(upstream, nowMs);
  if (!isLimitedAsCold && !namedLimit) return NONE;
  const cold: RateLimit = {
    reason: 'cold',
    perS: coldPerS,
    windowS: 1,
    overrun: coldOverrun,
    slack: coldSlack,
  };
  return [
    ...(isLimitedAsCold ? [cold] : []),
    ...(namedLimit
      ? [{ reason: 'limited' as const, perS: namedLimit.perS, ...NAMED_LIMIT_BOUND }]
      : []),
  ];
}

export function isCold({ coldUntilMs }: upstreams.Upstream, nowMs: number): boolean {
  return coldUntilMs > nowMs;
}

/** Time until this instance may send under the limit; infinite if it is not one of the senders. */
export function waitMs(
  state: fleet.State,
  upstream: upstreams.Upstream,
  limit: RateLimit,
  nowMs: number,
): number {
  const { tokens, share } = fill(state, upstream, limit, nowMs);
  const missing = 1 - tokens;
  if (missing <= EPSILON && share !== NO_SHARE) return 0;
  return (missing / share.perS) * 1_000;
}

/** Records one send. */
export function spend(
  state: fleet.State,
  upstream: upstreams.Upstream,
  limit: RateLimit,
  nowMs: number,
): void {
  const bucket = fill(state, upstream, limit, nowMs);
  bucket.tokens -= 1;
}

/** The bucket with the tokens that have come since, at the rate of the share that held meanwhile. */
function fill(
  { instance, senders }: fleet.State,
  { buckets, registration: { id } }: upstreams.Upstream,
  limit: RateLimit,
  nowMs: number,
): Bucket {
  const known = buckets.get(limit.reason);
  const { perS } = limit;
  const isCurrent = known?.basis.perS === perS && known.basis.senders === senders;
  const share = isCurrent ? known.share : shareOf(limit, id, instance, senders);
  const filled = known
    ? known.tokens + ((nowMs - known.filledAtMs) / 1_000) * known.share.perS
    : INITIAL_TOKENS;
  const bucket: Bucket = {
    tokens: Math.min(filled, share.capacity),
    filledAtMs: nowMs,
    share,
    basis: { perS, senders },
  };
  buckets.set(limit.reason, bucket);
  return bucket;
}

function shareOf(
  { perS, windowS, overrun, slack }: RateLimit,
  upstream: string,
  instance: string,
  names: readonly string[],
): Share {
  const burst = (perS * windowS * (overrun - 1) + slack) * BURST_SHARE;
  const count = Math.min(names.length, Math.max(1, Math.floor(burst / CAPACITY)));
  const isSender =
    count === names.length
      ? names.includes(instance)
      : rendezvous.selectTop(upstream, names, count).includes(instance);
  if (!isSender) return NO_SHARE;
  return { perS: perS / count, capacity: Math.min(CAPACITY, Math.max(1, burst / count)) };
}
