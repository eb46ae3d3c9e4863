/** The platform's service on simulated time: the head, its bases, the list, and waiting watches. */
import type * as core from '@medlarweir/core';
import type * as platformHttp from '@medlarweir/plugin-platform-http';

import type * as timelines from './timeline.js';

export type Platform = {
  calls(): number;
  read(key: string): core.messages.PlatformAnswer;
  /** Puts a value in place, as an accepted conditional update does. */
  put(key: string, value: unknown): void;
  setInstances(instances: readonly core.messages.ListedInstance[]): void;
  /** Answers at once with news, or after the wait without. */
  poll(watched: platformHttp.watches.Watched, answer: (news: string) => void): void;
};

/** How long a watch waits, as the platform plug-in asks for it. */
const WATCH_WAIT_MS = 1_500;

type Stored = core.messages.StoredObject & { revision: number };

export function create(timeline: timelines.Timeline): Platform {
  const objects = new Map<string, Stored>();
  const waiting = new Set<() => void>();
  const state = { calls: 0, revision: 0, listRevision: 0 };
  const list = { instances: [] as readonly core.messages.ListedInstance[] };

  function changed(): void {
    [...waiting].forEach((wake) => wake());
  }
  function newsOf({ watch, revision }: platformHttp.watches.Watched) {
    if (watch.kind === 'instances') {
      const isNew = state.listRevision > revision;
      const news = { kind: 'instances', revision: state.listRevision, instances: list.instances };
      return { isNew, news };
    }
    const found = [...objects.values()].filter(
      (each) => each.key.startsWith(watch.prefix) && each.revision > revision,
    );
    const news = { kind: 'objects', revision: state.revision, objects: found };
    return { isNew: found.length > 0, news };
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
      state.revision += 1;
      const version = (objects.get(key)?.version ?? 0) + 1;
      objects.set(key, { key, version, value, writeId: 'w', revision: state.revision });
      changed();
    },
    setInstances(instances) {
      list.instances = instances;
      state.listRevision += 1;
      changed();
    },
    poll(watched, answer) {
      state.calls += 1;
      const { isNew, news } = newsOf(watched);
      if (isNew) {
        answer(JSON.stringify(news));
        return;
      }
      const wake = () => {
        const later = newsOf(watched);
        if (!later.isNew && timeline.nowMs() < endsAtMs) return;
        waiting.delete(wake);
        answer(JSON.stringify(later.news));
      };
      const endsAtMs = timeline.nowMs() + WATCH_WAIT_MS;
      waiting.add(wake);
      timeline.after(WATCH_WAIT_MS, () => {
        if (waiting.has(wake)) wake();
      });
    },
  };
}
