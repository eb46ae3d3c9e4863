/**
 * This instance's share of the retries that all instances together may cause. The bound is
 * ratio × requests + extra in any window; requests are counted here, the extra is divided evenly.
 */

/** Second sends and requests of one service, each by the time of its sending. */
export type Usage = { requests: readonly number[]; retries: readonly number[] };

export type Limits = {
  windowMs: number;
  /** Second sends allowed for each request. */
  retriesPerRequest: number;
  /** Second sends allowed besides, for all instances together. */
  extraRetries: number;
  /** Instances that may be alive at once. */
  instances: number;
  /** When this process began. */
  startedAtMs: number;
};

export const unused: Usage = { requests: [], retries: [] };

/** Share of the bound that is used: sends that are under way count only once they arrive. */
const USABLE_FRACTION = 0.7;

export function recordRequest(share: Usage, nowMs: number, bounds: Limits): Usage {
  return { ...share, requests: [...withinWindow(share.requests, nowMs, bounds), nowMs] };
}

/** The share after one more send, or nothing if the budget is used up. */
export function spendRetry(share: Usage, nowMs: number, bounds: Limits): Usage | undefined {
  const requests = withinWindow(share.requests, nowMs, bounds);
  const retries = withinWindow(share.retries, nowMs, bounds);
  if (retries.length + 1 > allowed(requests.length, nowMs, bounds)) return undefined;
  return { requests, retries: [...retries, nowMs] };
}

/** A process that has just begun may follow one that used its share: the extra grows with its age. */
function allowed(requests: number, nowMs: number, bounds: Limits): number {
  const { windowMs, retriesPerRequest, extraRetries, instances, startedAtMs } = bounds;
  const seniority = Math.min(1, (nowMs - startedAtMs) / windowMs);
  return (
    USABLE_FRACTION *
    (retriesPerRequest * requests + (extraRetries * seniority) / Math.max(1, instances))
  );
}

function withinWindow(times: readonly number[], nowMs: number, { windowMs }: Limits) {
  const from = nowMs - windowMs;
  const first = times.findIndex((time) => time > from);
  return first < 0 ? [] : times.slice(first);
}
