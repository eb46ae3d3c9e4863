/** Delays of the modelled network and callers. */

/** Longest time after a send until a caller disconnects. */
export const LATEST_CANCEL_MS = 2_000;
/** One-way delay between an instance and an upstream. */
export const ONE_WAY_MS = 1;
