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
/** Long enough for the first call of the instance one rank ahead to be answered. */
const ACQUIRE_DELAY_PER_RANK_MS = 500;
/** For an instance that does not know its rank: the members are mostly known sooner. */
const UNRANKED_ACQUIRE_DELAY_MS = 1_000;

export function withMembers(given: lease.Lease, members: readonly string[]): lease.Lease {
  const { key, holder } = given.options;
  const rank = rendezvous.rank(key, members).indexOf(holder);
  const standbyDelayMs = Math.max(0, rank - FIRST_STANDBYS + 1) * DELAY_PER_RANK_MS;
  return { ...given, standbyDelayMs };
}

/**
 * How long an instance waits before its first call for a lease that all instances come to need at the
 * same moment, in ms. Only those of the lowest ranks make a call while the first one holds it.
 */
export function acquireDelayMs(
  { options: { key, holder } }: Pick<lease.Lease, 'options'>,
  members: readonly string[],
): number {
  const rank = rendezvous.rank(key, members).indexOf(holder);
  return rank < 0 ? UNRANKED_ACQUIRE_DELAY_MS : rank * ACQUIRE_DELAY_PER_RANK_MS;
}
