/** What attempts and probes tell about an upstream. */
import type * as lifecycle from '../gateway/lifecycle-state.js';
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';
import * as upstreams from './upstream.js';

/** How much each outcome counts as a fault; an upstream's own failure may be the caller's doing. */
const FAULT_WEIGHTS: Readonly<Record<lifecycle.AttemptOutcome, number>> = {
  answered: 0,
  failed: 0.25,
  rejected: 0.5,
  unreachable: 1,
  'no-connection': 0.5,
  broken: 1,
  silent: 2,
  cancelled: 0,
};

/** No byte for this long, with work unanswered, is silence. */
export const SILENCE_TIMEOUT_MS = 900;
/** How long work keeps away after a rejection: a load of weights takes this long or longer. */
const REJECTION_BACKOFF_MS = 700;
/** Weight of the newest measurement in the smoothed latency. */
const LATENCY_SMOOTHING_WEIGHT = 0.25;
/** Parts remembered for one upstream; its memory holds fewer. */
const MAX_RECENT_PARTS = 200;

/** Ends the work of a request and learns from its outcome. */
export function recordOutcome(
  upstream: upstreams.Upstream,
  requestId: string,
  outcome: lifecycle.AttemptOutcome,
  now: task.Instant,
): void {
  upstream.inFlight.delete(requestId);
  upstreams.addToFaultScore(upstream, FAULT_WEIGHTS[outcome], now.monotonicMs);
  switch (outcome) {
    case 'unreachable':
      markUnreachable(upstream);
      return;
    case 'silent':
      if (isSilent(upstream, now)) markUnreachable(upstream);
      return;
    case 'rejected':
    case 'no-connection':
      Object.assign(upstream, { backoffUntilMs: now.monotonicMs + REJECTION_BACKOFF_MS });
      return;
    case 'answered':
    case 'failed':
    case 'broken':
    case 'cancelled':
      return;
    default:
      results.assertNever(outcome);
  }
}

function markUnreachable(upstream: upstreams.Upstream): void {
  Object.assign(upstream, { reachability: { kind: 'silent' } });
}

/** Whether nothing has come from it although work has waited for an answer. */
export function isSilent({ lastByteAtMs }: upstreams.Upstream, now: task.Instant): boolean {
  return now.monotonicMs - lastByteAtMs >= SILENCE_TIMEOUT_MS;
}

export type Signals = {
  load: upstreams.ReportedLoad | undefined;
  /** How long it says that it stays cold. */
  coldMs: number | undefined;
  version: upstreams.ModelVersion | undefined;
};

/** A byte came from the upstream. Returns the work whose first byte it is. */
export function recordResponse(
  upstream: upstreams.Upstream,
  requestId: string | undefined,
  sign: Signals,
  now: task.Instant,
): upstreams.InFlightRequest | undefined {
  Object.assign(upstream, {
    lastByteAtMs: now.monotonicMs,
    reportedLoad: sign.load ?? upstream.reportedLoad,
  });
  if (sign.coldMs !== undefined && sign.coldMs > 0) {
    Object.assign(upstream, { coldUntilMs: now.monotonicMs + sign.coldMs });
  }
  if (sign.version) upstreams.recordVersion(upstream, sign.version.model, sign.version.version);
  const work = requestId === undefined ? undefined : upstream.inFlight.get(requestId);
  if (!work || work.hasFirstByte) return undefined;
  work.hasFirstByte = true;
  const measuredMs = now.monotonicMs - work.startedAtMs;
  const known = upstream.firstByteLatencyMs ?? measuredMs;
  const latencyMs = known + (measuredMs - known) * LATENCY_SMOOTHING_WEIGHT;
  Object.assign(upstream, { firstByteLatencyMs: latencyMs });
  return work;
}

/** It answers again: it may have been restarted, so it counts as cold unless it says otherwise. */
export function recordRecovery(
  upstream: upstreams.Upstream,
  coldMs: number,
  now: task.Instant,
): void {
  Object.assign(upstream, {
    reachability: { kind: 'answers' },
    lastByteAtMs: now.monotonicMs,
    coldUntilMs: now.monotonicMs + coldMs,
    firstByteLatencyMs: undefined,
  });
}

/** Bounds what is remembered of one upstream, and lets an old latency fade so that it is tried again. */
export function trimHistory(upstream: upstreams.Upstream, nowMs: number): void {
  const surplus = upstream.recentlySentParts.size - MAX_RECENT_PARTS;
  [...upstream.recentlySentParts.keys()]
    .slice(0, Math.max(0, surplus))
    .forEach((key) => upstream.recentlySentParts.delete(key));
  if (upstream.inFlight.size > 0 || nowMs - upstream.lastByteAtMs < 2 * SILENCE_TIMEOUT_MS) return;
  Object.assign(upstream, { firstByteLatencyMs: undefined, reportedLoad: undefined });
}
