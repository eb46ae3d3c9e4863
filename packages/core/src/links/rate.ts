/**
 * What a link is found to carry: bytes over time while transfers were under way, leaning to the
 * configured rate as the finding ages, so that a link that has recovered is tried again.
 */

export type Rate = {
  /** Recent bytes and the time that they took, older ones weighing less. */
  bytes: number;
  ms: number;
  /** When the last finding was made. */
  foundAtMs: number;
};

export const unknownRate: Rate = { bytes: 0, ms: 0, foundAtMs: 0 };

const KEPT_SHARE = 0.85;
const HALF_LIFE_MS = 10 * 60_000;

/** Takes in `bytes` that passed in `ms`. */
export function note(rate: Rate, bytes: number, ms: number, nowMs: number): Rate {
  return {
    bytes: rate.bytes * KEPT_SHARE + bytes,
    ms: rate.ms * KEPT_SHARE + ms,
    foundAtMs: nowMs,
  };
}

/** Expected bytes a second. */
export function bytesPerS(rate: Rate, configuredBytesPerS: number, nowMs: number): number {
  if (rate.ms <= 0) return configuredBytesPerS;
  const found = Math.min(configuredBytesPerS, (rate.bytes / rate.ms) * 1_000);
  const weight = 0.5 ** ((nowMs - rate.foundAtMs) / HALF_LIFE_MS);
  return configuredBytesPerS ** (1 - weight) * Math.max(1, found) ** weight;
}
