/**
 * Prefill that this instance has placed on each upstream and expects not to be done yet, for each
 * priority. Engines serve more urgent work first, so a short prompt waits for short ones only.
 * Updated in place by the routing task, which alone owns it.
 */
import type * as schema from '../configuration/schema.js';

/** When the work of a priority, and of all more urgent ones, is expected to be done. */
type DoneAtMs = Record<schema.Priority, number>;

export type Backlogs = Map<string, DoneAtMs>;

/** Priorities that wait for work of the key. */
const PRIORITIES_DELAYED_BY: Record<schema.Priority, readonly schema.Priority[]> = {
  short: ['short', 'normal', 'long'],
  normal: ['normal', 'long'],
  long: ['long'],
};

export function create(): Backlogs {
  return new Map();
}

/** Expected wait of a new prompt for the work ahead of it. */
export function estimateWaitMs(
  work: Backlogs,
  upstream: string,
  priority: schema.Priority,
  nowMs: number,
): number {
  return Math.max(0, (work.get(upstream)?.[priority] ?? 0) - nowMs);
}

/** A prompt was placed that needs `prefillMs` and cannot begin before `startsAtMs`. */
export function add(
  work: Backlogs,
  upstream: string,
  priority: schema.Priority,
  prefillMs: number,
  startsAtMs: number,
): void {
  const doneAt = work.get(upstream) ?? { short: 0, normal: 0, long: 0 };
  PRIORITIES_DELAYED_BY[priority].forEach((waiting) => {
    doneAt[waiting] = Math.max(doneAt[waiting], startsAtMs) + prefillMs;
  });
  work.set(upstream, doneAt);
}

/** Forgets upstreams that are no longer configured. */
export function retain(work: Backlogs, names: ReadonlySet<string>): void {
  [...work.keys()].filter((name) => !names.has(name)).forEach((name) => work.delete(name));
}
