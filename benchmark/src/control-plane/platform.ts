/** Models the platform's service in simulated time: the head, its bases, the list and watches. */
import type * as core from '@medlarweir/core';
import * as knowledge from '@medlarweir/core/knowledge';
import * as store from '@medlarweir/platform/store';

import type * as timelines from './timeline.js';

export type Platform = {
  calls(): number;
  read(key: string): core.messages.PlatformAnswer;
  /** Stores a value, as an accepted conditional update does. */
  put(key: string, value: unknown): void;
  setInstances(instances: readonly core.messages.ListedInstance[]): void;
  /** Returns all objects of a kind, as text. */
  list(kind: string): string;
  /** Answers immediately if the kind has changes, otherwise with none when the wait ends. */
  poll(kind: string, since: number, waitMs: number, answer: (news: string) => void): void;
};

type Stored = core.messages.StoredObject & { revision: number };

export function create(timeline: timelines.Timeline): Platform {
  const objects = new Map<string, Stored>();
  const waiting = new Set<() => void>();
  const state = { calls: 0, revision: 0 };

  function changed(): void {
    [...waiting].forEach((wake) => wake());
  }
  function put(key: string, value: unknown): void {
    state.revision += 1;
    const version = state.revision;
    objects.set(key, { key, version, value, writeId: 'w', revision: state.revision });
    changed();
  }
  function after(kind: string, since: number): readonly Stored[] {
    return [...objects.values()].filter(
      ({ key, revision }) => key.startsWith(`${kind}/`) && revision > since,
    );
  }
  function newsOf(kind: string, since: number): { isNew: boolean; text: string } {
    const found = after(kind, since);
    const { revision } = state;
    const news: knowledge.watches.Answer = {
      kind: 'updates',
      objects: found,
      removed: [],
      revision,
    };
    return { isNew: found.length > 0, text: JSON.stringify(news) };
  }

  return {
    calls: () => state.calls,
    read(key) {
      state.calls += 1;
      const object = objects.get(key);
      return object ? { kind: 'object', object } : { kind: 'missing' };
    },
    put(key, value) {
      state.calls += 1;
      put(key, value);
    },
    setInstances(instances) {
      const prefix = store.instanceList.KEY_PREFIX;
      instances.forEach(({ name, ...entry }) => {
        const before = objects.get(`${prefix}${name}`);
        if (JSON.stringify(before?.value) !== JSON.stringify(entry)) put(`${prefix}${name}`, entry);
      });
    },
    list(kind) {
      state.calls += 1;
      const { revision } = state;
      const found = after(kind, 0);
      return JSON.stringify({ kind: 'page', objects: found, revision, after: undefined });
    },
    poll(kind, since, waitMs, answer) {
      state.calls += 1;
      const first = newsOf(kind, since);
      if (first.isNew) {
        answer(first.text);
        return;
      }
      const endsAtMs = timeline.nowMs() + waitMs;
      const wake = () => {
        const later = newsOf(kind, since);
        if (!later.isNew && timeline.nowMs() < endsAtMs) return;
        waiting.delete(wake);
        answer(later.text);
      };
      waiting.add(wake);
      timeline.after(waitMs, () => {
        if (waiting.has(wake)) wake();
      });
    },
  };
}
