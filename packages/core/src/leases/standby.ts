/**
 * Spreads the reads of the instances that wait for a lease. If all of them read it at the same rate,
 * the platform's calls would grow with the deployment. So the higher an instance ranks, the more often
 * it reads, and the number of reads grows with the logarithm of the number of instances.
 */
import * as rendezvous from '../membership/rendezvous.js';
import type * as lease from './lease.js';

/** Instances that read without an additional delay; one of them takes over. */
const FIRST_STANDBYS = 3;
/** Additional delay for each rank behind them. */
const DELAY_PER_RANK_MS = 1_500;

export function withMembers(given: lease.Lease, members: readonly string[]): lease.Lease {
  const { key, holder } = given.options;
  const rank = rendezvous.rank(key, members).indexOf(holder);
  const standbyDelayMs = Math.max(0, rank - FIRST_STANDBYS + 1) * DELAY_PER_RANK_MS;
  return { ...given, standbyDelayMs };
}
