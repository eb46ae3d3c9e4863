/** The order in which requests that wait for a place are started. */

/** Overuse is compared in steps, so that small differences do not outweigh an assigned retry time. */
const OVERUSE_STEP = 0.1;

/** What decides the place of a request among those that wait at an instance. */
export type Standing = {
  /** Whether its first token can no longer come in time. */
  isLate: boolean;
  /** Priority of the route or client account, 0 is the most urgent. */
  rank: number;
  overuse: number;
  /** Whether its caller was told to return now, or would have been. */
  isReturn: boolean;
  /** In monotonic ms. */
  enteredAtMs: number;
};

function step(overuse: number): number {
  return Math.floor(overuse / OVERUSE_STEP);
}

/** Negative if `a` comes first. Work that can be in time comes before work that cannot. */
export function compare(a: Standing, b: Standing): number {
  return (
    Number(a.isLate) - Number(b.isLate) ||
    a.rank - b.rank ||
    step(a.overuse) - step(b.overuse) ||
    Number(b.isReturn) - Number(a.isReturn) ||
    a.enteredAtMs - b.enteredAtMs
  );
}
