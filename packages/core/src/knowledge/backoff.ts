/** The backoff of a watch after failed calls to the store. */
import * as rendezvous from '../membership/rendezvous.js';

const INITIAL_BACKOFF_MS = 80;
/** Bounds the time from the store's recovery to the next confirmation. */
const MAX_BACKOFF_MS = 700;

/**
 * Doubles with each failure up to the maximum; a hash adds up to half the delay as jitter between
 * instances.
 */
export function delayMs(instance: string, kind: string, failures: number): number {
  const base = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (failures - 1));
  return base * (1 + rendezvous.hashFraction(instance, `${kind}/${failures}`) / 2);
}
