/**
 * Versions of objects and revisions of the store as one number that never goes back: the store's era,
 * then its revision. A store that came back from an old copy is in a later era, and gives out its
 * revisions again.
 */

/** More revisions than an era has; leaves room for two million eras in a safe integer. */
const REVISIONS_PER_ERA = 2 ** 32;
export const MAX_REVISION = REVISIONS_PER_ERA - 1;
export const MAX_ERA = 2 ** 21 - 1;

/** By then, operators, upstreams and instances have written again what an old copy lacks. */
export const RESTORED_MS = 10_000;

export function join(era: number, revision: number): number {
  return era * REVISIONS_PER_ERA + revision;
}

export function eraOf(version: number): number {
  return Math.floor(version / REVISIONS_PER_ERA);
}

export function revisionOf(version: number): number {
  return version % REVISIONS_PER_ERA;
}
