/**
 * Limits how many requests the holder of the right to a cold upstream may send. Other instances may
 * have left runs there; their number is known only from lagging reports, so an upper bound is used.
 */
import type * as schema from '../configuration/schema.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';

/** Longest time from a send that a right covers to its arrival at the upstream. */
export const DELIVERY_MAX_MS = 1_500;
/** Longest time from an upstream's measurement of its load to the arrival of the report. */
export const REPORT_LAG_MAX_MS = 1_000;

/** Runs at a cold upstream that the own instance does not count as in flight. */
export type ForeignRuns = {
  right: messages.ColdStartRight;
  /** Upper bound of their number; `undefined` until a report has bounded it. */
  atMost: number | undefined;
  /** Reports that arrive before this time may be too old to bound them. */
  provenAfterMs: number;
};

export function noRight(): ForeignRuns {
  return { right: { kind: 'none' }, atMost: undefined, provenAfterMs: Infinity };
}

/** Applies a gained, renewed or lost right. A renewed right keeps the known bound. */
export function withRight(before: ForeignRuns, right: messages.ColdStartRight): ForeignRuns {
  switch (right.kind) {
    case 'none':
      return noRight();
    case 'held': {
      const isRenewed = before.right.kind === 'held' && before.right.sinceMs === right.sinceMs;
      if (isRenewed) return { ...before, right };
      const provenAfterMs = right.sinceMs + DELIVERY_MAX_MS + REPORT_LAG_MAX_MS;
      return { right, atMost: undefined, provenAfterMs };
    }
    default:
      return results.assertNever(right);
  }
}

/** Applies a load report. No other instance sends now, so each later report is an upper bound. */
export function withReport(before: ForeignRuns, reported: number, now: task.Instant): ForeignRuns {
  if (now.monotonicMs < before.provenAfterMs) return before;
  return { ...before, atMost: Math.min(before.atMost ?? Infinity, reported) };
}

/** Counts an own run that ended for this instance but may still be running at the upstream. */
export function withAbandoned(before: ForeignRuns, now: task.Instant): ForeignRuns {
  const provenAfterMs = Math.max(
    before.provenAfterMs,
    now.monotonicMs + DELIVERY_MAX_MS + REPORT_LAG_MAX_MS,
  );
  const atMost = before.atMost === undefined ? undefined : before.atMost + 1;
  return { ...before, atMost, provenAfterMs };
}

/** Whether the upstream may still be running a request that ended here with this outcome. */
export function isAbandoned(outcome: messages.PlacementOutcome): boolean {
  switch (outcome.kind) {
    case 'completed':
      return false;
    case 'cancelled':
      return true;
    case 'failed':
      return (
        outcome.progress.kind !== 'not-connected' && outcome.progress.kind !== 'vouched-not-run'
      );
    default:
      return results.assertNever(outcome);
  }
}

/** Whether the holder of the right may send one more request. */
export function maySend(
  foreignRuns: ForeignRuns,
  inFlight: number,
  upstream: schema.Upstream,
  now: task.Instant,
): boolean {
  const { right } = foreignRuns;
  const isHeld = right.kind === 'held' && now.monotonicMs < right.untilMs;
  return isHeld && countFreeSlots(foreignRuns, inFlight, upstream) > 0;
}

/** Slots of a cold upstream that the holder of the right may still use. */
export function countFreeSlots(
  { right, atMost }: ForeignRuns,
  inFlight: number,
  upstream: schema.Upstream,
): number {
  if (right.kind === 'none' || atMost === undefined) return 0;
  return Math.max(0, upstream.coldSlots - inFlight - atMost);
}
