/**
 * Limit on the requests of a service that an instance has at upstreams. It grows by this instance's
 * share of the free slots, so that all instances together take no more than there are, and shrinks
 * while no slot is free.
 */

/** Capacity of a service's upstreams as reported by routing. */
export type Capacity = {
  /** This instance's share of the free slots; may be fractional. */
  freeSlots: number;
  /** Upstreams that may take work, even if no slot is free. */
  upstreams: number;
};

const SHRINK_FACTOR = 0.9;
/** An instance may always send one request while any upstream takes work. */
const MIN_LIMIT = 1;

/** Returns the next limit from the current one and the requests in flight. */
export function adjust(
  currentLimit: number,
  inFlight: number,
  { freeSlots, upstreams }: Capacity,
): number {
  if (upstreams === 0) return 0;
  if (freeSlots <= 0) return Math.max(MIN_LIMIT, currentLimit * SHRINK_FACTOR);
  return Math.max(MIN_LIMIT, Math.min(currentLimit, inFlight) + freeSlots);
}
