/**
 * Lower bound on what any policy recomputes: one pool of all stores' and engines' bytes, unlimited
 * links, and knowledge of every later visit (Belady's rule: evict the piece with the latest next use).
 */
import * as engineModel from './engine-model.js';
import * as storeModel from './store-model.js';
import type * as workload from './workload.js';
import * as worlds from './world.js';

/** Returns the recomputed share of returning context under the oracle. */
export function recomputedShare(
  shape: workload.Shape,
  visits: readonly workload.Visit[],
  variant: worlds.Variant,
): number {
  const stores = variant === 'store-dead' ? worlds.STORES - 1 : worlds.STORES;
  const capacity =
    stores * (storeModel.MEMORY_PIECES + storeModel.DISK_PIECES) +
    shape.engines * engineModel.CACHE_PIECES;
  const nextUses = usesOf(visits);
  /** Held pieces and the index of their next use. */
  const held = new Map<string, number>();
  const total = { returned: 0, recomputed: 0 };
  visits.forEach((visit) => {
    total.returned += visit.returnedPieces;
    const missing = visit.pieces.findIndex((piece) => !held.has(piece));
    const prefix = missing === -1 ? visit.pieces.length : missing;
    total.recomputed += Math.max(0, visit.returnedPieces - prefix);
    visit.pieces.forEach((piece) => {
      const uses = nextUses.get(piece);
      uses?.pop();
      const next = uses?.at(-1);
      if (next === undefined) held.delete(piece);
      else held.set(piece, next);
    });
    shrink(held, capacity);
  });
  return total.returned === 0 ? 0 : total.recomputed / total.returned;
}

/** The visits that use each piece, last first. */
function usesOf(visits: readonly workload.Visit[]): Map<string, number[]> {
  const uses = new Map<string, number[]>();
  visits.forEach((visit, at) =>
    visit.pieces.forEach((piece) => {
      const found = uses.get(piece) ?? [];
      found.push(at);
      uses.set(piece, found);
    }),
  );
  uses.forEach((found) => found.reverse());
  return uses;
}

/** The pool is evicted in steps of this share, which favours the oracle. */
const SLACK = 0.02;

function shrink(held: Map<string, number>, capacity: number): void {
  if (held.size <= capacity * (1 + SLACK)) return;
  const last = [...held].sort(([, a], [, b]) => b - a).slice(0, held.size - capacity);
  last.forEach(([piece]) => held.delete(piece));
}
