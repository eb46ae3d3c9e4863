/** Demand by rank at this instance: who goes before whom at the upstreams, and how much work that is. */
import type * as task from '../kernel/task.js';
import * as decayed from './decayed.js';
import * as ledgers from './ledger.js';
import type * as types from './types.js';

export type Asked = { service: string; clientAccount: string; rank: number; usualWaitMs: number };

/** Ranks are priorities, so there are few of them. */
export function recordDemand(
  ledger: types.Ledger,
  { service, clientAccount, rank, usualWaitMs }: Asked,
  now: task.Instant,
): void {
  ledger.names.set(ledgers.keyOf(clientAccount), clientAccount);
  const ranks = ledger.ranks.get(service) ?? new Map<number, types.RankDemand>();
  ledger.ranks.set(service, ranks);
  const work = ranks.get(rank)?.work ?? { ...decayed.NOTHING, atMs: now.monotonicMs };
  ranks.set(rank, { seenAtMs: now.monotonicMs, work, usualWaitMs });
}

export function recordWork(
  { ranks }: types.Ledger,
  service: string,
  rank: number,
  used: number,
  now: task.Instant,
): void {
  const demand = ranks.get(service)?.get(rank);
  if (!demand) return;
  const work = decayed.added(demand.work, { used, refused: 0 }, now.monotonicMs);
  Object.assign(demand, { work });
}

/** How a rank stands among those with requests in the last half-life. */
export type Standing = {
  /** Number of more urgent ranks. */
  ranksAbove: number;
  /** Share of the work that is of this rank or a more urgent one; 1 if no work is known. */
  shareAhead: number;
  /** Longest wait that less urgent ranks accept; 0 without one. */
  outrankedWaitMs: number;
};

export function standingOf(
  { ranks }: types.Ledger,
  service: string,
  rank: number,
  { monotonicMs: nowMs }: task.Instant,
): Standing {
  const current = [...(ranks.get(service) ?? [])].filter(
    ([, { seenAtMs }]) => nowMs - seenAtMs < decayed.HALF_LIFE_MS,
  );
  const workOf = (demands: typeof current) =>
    demands.reduce((sum, [, { work }]) => sum + decayed.amountsAt(work, nowMs).used, 0);
  const total = workOf(current);
  const outranked = current.filter(([each]) => each > rank);
  return {
    ranksAbove: current.filter(([each]) => each < rank).length,
    shareAhead: total > 0 ? 1 - workOf(outranked) / total : 1,
    outrankedWaitMs: Math.max(0, ...outranked.map(([, { usualWaitMs }]) => usualWaitMs)),
  };
}
