/**
 * This instance's share of the retry budget of all instances. The bound on retries in any window is
 * ratio × requests + extra. Each instance counts its own requests and has an equal part of the
 * extra.
 */

/** Times in ms at which requests and retries of one service were sent. */
export type Usage = { requests: readonly number[]; retries: readonly number[] };

export type Limits = {
  windowMs: number;

  retriesPerRequest: number;
  /** Additional retries, shared by all instances. */
  extraRetries: number;
  /** Instances that may be alive at once. */
  instances: number;
  /** When this process started. */
  startedAtMs: number;
};

export const unused: Usage = { requests: [], retries: [] };

/** Fraction of the bound that may be spent: retries in flight count only when they arrive. */
const USABLE_FRACTION = 0.7;

export function recordRequest(usage: Usage, nowMs: number, limits: Limits): Usage {
  return { ...usage, requests: [...withinWindow(usage.requests, nowMs, limits), nowMs] };
}

/** Takes the newest request back: another instance counts it. */
export function withdrawRequest(usage: Usage): Usage {
  return { ...usage, requests: usage.requests.slice(0, -1) };
}

/** Returns the usage after one more retry, or `undefined` if the budget is used up. */
export function spendRetry(usage: Usage, nowMs: number, limits: Limits): Usage | undefined {
  const requests = withinWindow(usage.requests, nowMs, limits);
  const retries = withinWindow(usage.retries, nowMs, limits);
  if (retries.length + 1 > allowedRetries(requests.length, nowMs, limits)) return undefined;
  return { requests, retries: [...retries, nowMs] };
}

/**
 * The extra grows over the first window of a process: the process that it replaces may have spent
 * its share just before.
 */
function allowedRetries(requests: number, nowMs: number, limits: Limits): number {
  const { windowMs, retriesPerRequest, extraRetries, instances, startedAtMs } = limits;
  const ageFraction = Math.min(1, (nowMs - startedAtMs) / windowMs);
  return (
    USABLE_FRACTION *
    (retriesPerRequest * requests + (extraRetries * ageFraction) / Math.max(1, instances))
  );
}

function withinWindow(times: readonly number[], nowMs: number, { windowMs }: Limits) {
  const from = nowMs - windowMs;
  const first = times.findIndex((time) => time > from);
  return first < 0 ? [] : times.slice(first);
}
