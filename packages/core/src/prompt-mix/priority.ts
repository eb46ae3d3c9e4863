/**
 * The priority that an upstream is sent. Ranks of routes and client accounts keep their order; within a
 * rank, shorter prompts go before longer ones.
 */
import type * as queue from '../fleet/queue.js';
import * as results from '../results/index.js';
import type * as upstreams from '../fleet/upstream.js';
import * as cost from './cost.js';
import type * as plans from './plan.js';

/** Upstreams accept priorities from 0 (most urgent) to this value (least urgent). */
export const MAX_PRIORITY = 9;

/** Where a prompt stands in its rank. */
export type Turn =
  /** Sizes are not told apart: the rank is the priority. */
  | { kind: 'by-rank' }
  /** `ranks`: those in use, in ascending order. */
  | { kind: 'before-longer' | 'after-shorter'; ranks: readonly number[] };

/**
 * Share of an upstream's prefill rate that short prompts may take before long ones are sent with the
 * same priority: behind them, a long prompt still gets the other half.
 */
const MAX_SHORT_SHARE = 0.5;

/** The turn of a placed prompt. */
export function turnOf(
  plan: plans.Plan,
  upstream: upstreams.Upstream,
  { tokensPerMs }: queue.Estimate,
  ranks: readonly number[],
): Turn {
  switch (plan.kind) {
    case 'alike':
      return { kind: 'by-rank' };
    case 'short':
      return { kind: 'before-longer', ranks };
    case 'long': {
      const { unreadTokens = 0 } = plan.mix.means.short;
      const takenPerMs = cost.shortPerMs(plan.mix, upstream) * unreadTokens;
      const isStarved = takenPerMs > tokensPerMs * MAX_SHORT_SHARE;
      return { kind: isStarved ? 'before-longer' : 'after-shorter', ranks };
    }
    default:
      return results.assertNever(plan);
  }
}

/** A prompt that has waited this share of its latency target goes first in its rank. */
const MAX_WAITED_SHARE = 0.5;

export type Sent = {
  rank: number;
  turn: Turn;
  isResumed: boolean;
  /** Time since the caller sent it. */
  waitedMs: number;
  latencyTargetMs: number;
};

/** From 0 to `MAX_PRIORITY`; 0 is the most urgent. */
export function priorityOf({ rank, turn, isResumed, waitedMs, latencyTargetMs }: Sent): number {
  switch (turn.kind) {
    case 'by-rank':
      return clamp(isResumed ? rank - 1 : rank);
    case 'before-longer':
    case 'after-shorter': {
      const place = placeOf(turn.ranks, rank);
      if (isResumed) return place.resumed;
      const isLate = waitedMs >= latencyTargetMs * MAX_WAITED_SHARE;
      return turn.kind === 'before-longer' || isLate ? place.shorter : place.longer;
    }
    default:
      return results.assertNever(turn);
  }
}

type Place = { resumed: number; shorter: number; longer: number };

/**
 * Values of a rank, as close to the rank as the others leave room for. Up to five ranks have two values
 * each; with more, sizes share one. A resumed stream has a value before them where one is free.
 */
function placeOf(inUse: readonly number[], rank: number): Place {
  const ranks = [...new Set([...inUse, rank].map(slotOf))].sort((a, b) => a - b);
  const values = MAX_PRIORITY + 1;
  const width = ranks.length * 2 <= values ? 2 : 1;
  const starts: number[] = [];
  ranks.forEach((each, at) => {
    const last = (starts[at - 1] ?? -width) + width;
    const latest = values - width * (ranks.length - at);
    starts.push(Math.min(latest, Math.max(each, last)));
  });
  const at = ranks.indexOf(slotOf(rank));
  const shorter = starts[at] ?? slotOf(rank);
  const free = (starts[at - 1] ?? -width) + width;
  return { resumed: Math.max(free, shorter - 1), shorter, longer: shorter + width - 1 };
}

function clamp(priority: number): number {
  return Math.max(0, Math.min(MAX_PRIORITY, priority));
}

function slotOf(rank: number): number {
  return Math.round(clamp(rank));
}
