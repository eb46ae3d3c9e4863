/**
 * Prefill that this instance has placed on each upstream and that is expected to be unfinished, per
 * priority. Engines serve more urgent work first, so a short prompt waits only for short ones.
 * Updated in place by the routing task, its only owner.
 */
import type * as schema from '../configuration/schema.js';

/** Expected completion time of the work of a priority and of all more urgent ones. */
type DoneAtMs = Record<schema.Priority, number>;

export type Backlogs = Map<string, DoneAtMs>;

/** Priorities whose prompts wait for work of the key's priority. */
const PRIORITIES_DELAYED_BY: Record<schema.Priority, readonly schema.Priority[]> = {
  short: ['short', 'normal', 'long'],
  normal: ['normal', 'long'],
  long: ['long'],
};

export function create(): Backlogs {
  return new Map();
}

/** Returns the expected wait of a new prompt for the prefill ahead of it. */
export function estimateWaitMs(
  backlogs: Backlogs,
  upstream: string,
  priority: schema.Priority,
  nowMs: number,
): number {
  return Math.max(0, (backlogs.get(upstream)?.[priority] ?? 0) - nowMs);
}

/** Adds a placed prompt that needs `prefillMs` of prefill and cannot start before `startsAtMs`. */
export function add(
  backlogs: Backlogs,
  upstream: string,
  priority: schema.Priority,
  prefillMs: number,
  startsAtMs: number,
): void {
  const doneAt = backlogs.get(upstream) ?? { short: 0, normal: 0, long: 0 };
  PRIORITIES_DELAYED_BY[priority].forEach((waiting) => {
    doneAt[waiting] = Math.max(doneAt[waiting], startsAtMs) + prefillMs;
  });
  backlogs.set(upstream, doneAt);
}

/** Removes upstreams that are no longer configured. */
export function retain(backlogs: Backlogs, names: ReadonlySet<string>): void {
  [...backlogs.keys()].filter((name) => !names.has(name)).forEach((name) => backlogs.delete(name));
}
