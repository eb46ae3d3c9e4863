/** The time in which the platform no longer has the history behind a watch, and the kind is listed. */
import type * as task from '../kernel/task.js';
import type * as watches from './watches.js';

export type Gap = {
  sinceMs: number;
  /** The revision that was known before it. */
  revision: number;
  /** Number of listings, and the lowest revision of one. */
  listings: number;
  lowestListed: number;
};

export function begin(revision: number, now: task.Instant): Gap {
  return { sinceMs: now.monotonicMs, revision, listings: 0, lowestListed: Infinity };
}

export function withListing(gap: Gap | undefined, revision: number): Gap | undefined {
  if (!gap) return undefined;
  const lowestListed = Math.min(gap.lowestListed, revision);
  return { ...gap, listings: gap.listings + 1, lowestListed };
}

export function recordRegained(
  { kind: objectKind, gap }: watches.Watch,
  now: task.Instant,
): readonly watches.Command[] {
  if (!gap) return [];
  const { listings, revision, lowestListed, sinceMs } = gap;
  const forMs = Math.round(now.monotonicMs - sinceMs);
  const behind = revision - lowestListed;
  return [{ kind: 'record-history-regained', objectKind, listings, forMs, behind }];
}
