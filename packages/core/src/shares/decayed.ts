/** Sums of past work that decay exponentially, so that the history that counts is some seconds long. */

/**
 * Half-life of past work. Bursts of callers last some seconds, and long prompts have a deadline of 12 s: an
 * account pays for a burst while the callers that it delayed may still be served.
 */
export const HALF_LIFE_MS = 3_000;
/** Sums that are older than this hold less than a thousandth of their work. */
export const FORGET_AFTER_MS = 10 * HALF_LIFE_MS;

/** Amounts of one client account; work is in prompt tokens, or in ms of service at a plain service. */
export type Amounts = {
  /** Work that was started. */
  used: number;
  /** Work that was asked for and refused. */
  refused: number;
};

/** Amounts as of `atMs`, in monotonic ms. */
export type Sum = Amounts & { atMs: number };

export const NOTHING: Amounts = { used: 0, refused: 0 };

/** Factor by which work counts less after this time; a clock that went backwards changes nothing. */
export function decayFactor(elapsedMs: number): number {
  return 0.5 ** (Math.max(0, elapsedMs) / HALF_LIFE_MS);
}

export function amountsAt({ used, refused, atMs }: Sum, nowMs: number): Amounts {
  const factor = decayFactor(nowMs - atMs);
  return { used: used * factor, refused: refused * factor };
}

/** Never below 0: a correction may be larger than what is left of the work that it corrects. */
export function added(sum: Sum | undefined, more: Amounts, nowMs: number): Sum {
  const known = sum ? amountsAt(sum, nowMs) : NOTHING;
  return {
    used: Math.max(0, known.used + more.used),
    refused: Math.max(0, known.refused + more.refused),
    atMs: nowMs,
  };
}
