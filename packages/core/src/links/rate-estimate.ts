/**
 * Estimates the rate of a link from the bytes moved while transfers were in flight. The estimate
 * tends to the configured rate as its last sample ages, so that a recovered link is used again.
 */

export type RateEstimate = {
  /** Recent bytes and, in `elapsedMs`, the time that they took; older samples weigh less. */
  bytes: number;
  elapsedMs: number;
  /** When the last sample was taken. */
  sampledAtMs: number;
};

export const unknownRate: RateEstimate = { bytes: 0, elapsedMs: 0, sampledAtMs: 0 };

const DECAY_FACTOR = 0.85;
const HALF_LIFE_MS = 10 * 60_000;

/** Adds a sample of `bytes` transferred in `ms`. */
export function addSample(
  rate: RateEstimate,
  bytes: number,
  ms: number,
  nowMs: number,
): RateEstimate {
  return {
    bytes: rate.bytes * DECAY_FACTOR + bytes,
    elapsedMs: rate.elapsedMs * DECAY_FACTOR + ms,
    sampledAtMs: nowMs,
  };
}

/** Returns the expected bytes per second. */
export function estimateBytesPerS(
  rate: RateEstimate,
  configuredBytesPerS: number,
  nowMs: number,
): number {
  if (rate.elapsedMs <= 0) return configuredBytesPerS;
  const measuredBytesPerS = Math.min(configuredBytesPerS, (rate.bytes / rate.elapsedMs) * 1_000);
  const weight = 0.5 ** ((nowMs - rate.sampledAtMs) / HALF_LIFE_MS);
  return configuredBytesPerS ** (1 - weight) * Math.max(1, measuredBytesPerS) ** weight;
}
