/** Delays of the modelled network and callers. */

/** Latest time after a send at which a caller goes away. */
export const LATEST_CANCEL_MS = 2_000;
/** One-way delay between an instance and an upstream. */
export const ONE_WAY_MS = 1;
