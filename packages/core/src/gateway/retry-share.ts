/**
 * This instance's share of the retries that all instances together may cause. The bound is
 * ratio × requests + extra in any window; requests are counted here, the extra is divided evenly.
 */

/** Second sends and requests of one service, each by the time of its sending. */
export type RetryShare = { requests: readonly number[]; retries: readonly number[] };

export type RetryBounds = {
  windowMs: number;
  /** Second sends allowed for each request. */
  ratio: number;
  /** Second sends allowed besides, for all instances together. */
  extra: number;
  /** Instances that may be alive at once. */
  instances: number;
  /** When this process began. */
  startedAtMs: number;
};

export const none: RetryShare = { requests: [], retries: [] };

/** Share of the bound that is used: sends that are under way count only once they arrive. */
const USABLE_SHARE = 0.7;

export function onRequest(share: RetryShare, nowMs: number, bounds: RetryBounds): RetryShare {
  return { ...share, requests: [...withinWindow(share.requests, nowMs, bounds), nowMs] };
}

/** The share after one more send, or nothing if the budget is used up. */
export function onRetry(
  share: RetryShare,
  nowMs: number,
  bounds: RetryBounds,
): RetryShare | undefined {
  const requests = withinWindow(share.requests, nowMs, bounds);
  const retries = withinWindow(share.retries, nowMs, bounds);
  if (retries.length + 1 > allowed(requests.length, nowMs, bounds)) return undefined;
  return { requests, retries: [...retries, nowMs] };
}

/** A process that has just begun may follow one that used its share: the extra grows with its age. */
function allowed(requests: number, nowMs: number, bounds: RetryBounds): number {
  const { windowMs, ratio, extra, instances, startedAtMs } = bounds;
  const seniority = Math.min(1, (nowMs - startedAtMs) / windowMs);
  return USABLE_SHARE * (ratio * requests + (extra * seniority) / Math.max(1, instances));
}

function withinWindow(times: readonly number[], nowMs: number, { windowMs }: RetryBounds) {
  const from = nowMs - windowMs;
  const first = times.findIndex((time) => time > from);
  return first < 0 ? [] : times.slice(first);
}
