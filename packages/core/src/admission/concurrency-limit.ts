/**
 * How many requests of a service an instance holds at upstreams. It grows by the own part of the
 * slots that are free, so that all instances together take no more than there is, and shrinks
 * while none is free.
 */

/** What routing sees of a service's upstreams. */
export type Capacity = {
  /** The own part of the free slots; not a whole number where instances divide a few. */
  freeSlots: number;
  /** Upstreams that may take work at all. */
  upstreams: number;
};

const SHRINK_FACTOR = 0.9;
/** An instance may always try one request where any upstream takes work. */
const MIN_LIMIT = 1;

/** The next limit, from the one before and the requests that use it. */
export function adjust(before: number, inUse: number, { freeSlots, upstreams }: Capacity): number {
  if (upstreams === 0) return 0;
  if (freeSlots <= 0) return Math.max(MIN_LIMIT, before * SHRINK_FACTOR);
  return Math.max(MIN_LIMIT, Math.min(before, inUse) + freeSlots);
}
