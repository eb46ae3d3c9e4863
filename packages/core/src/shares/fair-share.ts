/**
 * Max-min fair shares: an account that demands less than an equal part gets its demand, and what it
 * leaves is divided equally among the others.
 */
import type * as decayed from './decayed.js';

/**
 * Work that an account may demand in the next seconds, as a multiple of what it used in the last: callers
 * arrive in bursts of 3. What it cannot demand is lent to others.
 */
const DEMAND_GROWTH = 3;

/** Work that the account is entitled to claim, at most. */
export function demandOf({ used, refused }: decayed.Amounts): number {
  return used * DEMAND_GROWTH + refused;
}

/**
 * The level at which the sum of `min(demand, level)` is `capacity`; infinite if all demands together are
 * less. Never below an equal part.
 */
export function maxMinLevel(demands: readonly number[], capacity: number): number {
  const sorted = [...demands].sort((a, b) => a - b);
  let left = capacity;
  for (let at = 0; at < sorted.length; at += 1) {
    const demand = sorted[at] ?? 0;
    const equal = left / (sorted.length - at);
    if (demand >= equal) return equal;
    left -= demand;
  }
  return Infinity;
}

/** The share of work that each account may use before others come first. */
export function levelOf(accounts: readonly decayed.Amounts[]): number {
  const capacity = accounts.reduce((sum, { used }) => sum + used, 0);
  return maxMinLevel(accounts.map(demandOf), capacity);
}

/** How far usage is above the fair share, as a part of the share; 0 at or below it. */
export function overuseOf(used: number, level: number): number {
  if (level === Infinity || used <= level) return 0;
  return used / level - 1;
}
