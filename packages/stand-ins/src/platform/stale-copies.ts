/** Earlier states of an object store, from which reads that may be stale are answered. */
import type * as objectStore from './object-store.js';

export type StaleCopies = {
  /** Keeps a state; to be called after each change. */
  keep(copy: objectStore.Copy, nowMs: number): void;
  /** The state of that moment, or the oldest one that was kept. */
  asOf(atMs: number): objectStore.Copy | undefined;
  /** Forgets all states. */
  clear(): void;
};

type Kept = { sinceMs: number; copy: objectStore.Copy };

export function create(): StaleCopies {
  const kept: Kept[] = [];
  return {
    keep(copy, nowMs) {
      kept.push({ sinceMs: nowMs, copy });
    },
    asOf: (atMs) => (kept.findLast(({ sinceMs }) => sinceMs <= atMs) ?? kept[0])?.copy,
    clear() {
      kept.length = 0;
    },
  };
}
