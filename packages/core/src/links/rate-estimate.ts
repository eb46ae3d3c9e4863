/**
 * What a link is found to carry: bytes over time while transfers were under way, leaning to the
 * configured rate as the finding ages, so that a link that has recovered is tried again.
 */

export type RateEstimate = {
  /** Recent bytes and the time that they took, older ones weighing less. */
  bytes: number;
  elapsedMs: number;
  /** When the last finding was made. */
  sampledAtMs: number;
};

export const unknownRate: RateEstimate = { bytes: 0, elapsedMs: 0, sampledAtMs: 0 };

const DECAY_FACTOR = 0.85;
const HALF_LIFE_MS = 10 * 60_000;

/** Takes in `bytes` that passed in `ms`. */
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

/** Expected bytes a second. */
export function estimateBytesPerS(
  rate: RateEstimate,
  configuredBytesPerS: number,
  nowMs: number,
): number {
  if (rate.elapsedMs <= 0) return configuredBytesPerS;
  const found = Math.min(configuredBytesPerS, (rate.bytes / rate.elapsedMs) * 1_000);
  const weight = 0.5 ** ((nowMs - rate.sampledAtMs) / HALF_LIFE_MS);
  return configuredBytesPerS ** (1 - weight) * Math.max(1, found) ** weight;
}
