/** Model of an engine's KV cache: running requests and the shared parts of earlier prompts share it. */
import type * as engines from './engine.js';

type Part = engines.Work['shared'];
type Holder = { work: engines.Work };

export type PrefixCache = {
  has(id: string): boolean;
  /** Evicts unused parts until the request has room; false if running requests leave too little. */
  reserve(shared: Part, ownTokens: number, running: readonly Holder[]): boolean;
  add(shared: Part, running: readonly Holder[]): void;
};

export function create(capacityTokens: number): PrefixCache {
  /** Tokens by part, least recently used first. */
  const parts = new Map<string, number>();

  function usedBy(running: readonly Holder[]): { own: number; pinned: Map<string, number> } {
    const pinned = new Map(running.map(({ work }) => [work.shared.id, work.shared.tokens]));
    const own = sum(running.map(({ work }) => work.ownTokens + work.outputTokens));
    return { own, pinned };
  }

  function sum(tokens: Iterable<number>): number {
    return [...tokens].reduce((total, each) => total + each, 0);
  }

  function evictTo(limitTokens: number, pinned: ReadonlyMap<string, number>): void {
    [...parts.keys()].forEach((id) => {
      const unpinned = [...parts].filter(([each]) => !pinned.has(each));
      if (pinned.has(id) || sum(unpinned.map(([, tokens]) => tokens)) <= limitTokens) return;
      parts.delete(id);
    });
  }

  return {
    has: (id) => parts.has(id),
    reserve(shared, ownTokens, running) {
      const { own, pinned } = usedBy(running);
      pinned.set(shared.id, shared.tokens);
      const left = capacityTokens - own - ownTokens - sum(pinned.values());
      if (left < 0) return false;
      evictTo(left, pinned);
      return true;
    },
    add(shared, running) {
      const { own, pinned } = usedBy(running);
      parts.delete(shared.id);
      parts.set(shared.id, shared.tokens);
      evictTo(Math.max(0, capacityTokens - own - sum(pinned.values())), pinned);
    },
  };
}
