/** Updates the health of an upstream from the results of attempts and probes. */
import type * as lifecycle from '../gateway/lifecycle-state.js';
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';
import * as namedLimit from './named-limit.js';
import * as upstreams from './upstream.js';

/** Fault score of each outcome. `failed` counts little: the caller's request may have caused it. */
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

/** An upstream with unanswered work is silent after this long without a byte. */
export const SILENCE_TIMEOUT_MS = 900;
/** Backoff after a rejection; loading weights takes at least this long. */
const REJECTION_BACKOFF_MS = 700;
/** Weight of the newest sample in the smoothed latency. */
const LATENCY_SMOOTHING_WEIGHT = 0.25;
/** Limit of recently sent parts kept for one upstream; its KV cache holds fewer. */
const MAX_RECENT_PARTS = 200;

/** Removes a request from the work in flight and applies its outcome to the upstream's health. */
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

/** Whether no byte has come from it for the silence timeout; the caller knows that work is unanswered. */
export function isSilent({ lastByteAtMs }: upstreams.Upstream, now: task.Instant): boolean {
  return now.monotonicMs - lastByteAtMs >= SILENCE_TIMEOUT_MS;
}

/** What an upstream says of itself in the head of an answer. */
export type Signals = {
  load: upstreams.ReportedLoad | undefined;
  /** How many times as long as usual its work takes at present; 1 is usual. */
  slowdown?: number;
  /** Reported time for which it stays cold. */
  coldMs: number | undefined;
  version: upstreams.ModelVersion | undefined;
  /** Requests a second that it takes from all instances together, if it names a limit. */
  limitPerS: number | undefined;
  isLeaving: boolean;
  /** For how long it wants no further request from this instance, as it has turned one away. */
  pauseMs: number | undefined;
};

/**
 * Records a byte from the upstream; `signals` are those of a head, and undefined for the bytes after
 * it. Returns the request whose first byte it is, if any.
 */
export function recordResponse(
  upstream: upstreams.Upstream,
  requestId: string | undefined,
  signals: Signals | undefined,
  now: task.Instant,
): upstreams.InFlightRequest | undefined {
  Object.assign(upstream, { lastByteAtMs: now.monotonicMs });
  const work = requestId === undefined ? undefined : upstream.inFlight.get(requestId);
  if (signals) recordSignals(upstream, signals, now);
  // An answer to any other request may be of an earlier incarnation.
  if (signals && (requestId === undefined || work)) {
    recordOwnSignals(upstream, signals, work, now);
  }
  if (!work || work.hasFirstByte) return undefined;
  work.hasFirstByte = true;
  const measuredMs = now.monotonicMs - work.startedAtMs;
  const known = upstream.firstByteLatencyMs ?? measuredMs;
  const latencyMs = known + (measuredMs - known) * LATENCY_SMOOTHING_WEIGHT;
  Object.assign(upstream, { firstByteLatencyMs: latencyMs });
  return work;
}

function recordSignals(
  upstream: upstreams.Upstream,
  { load, coldMs = 0 }: Signals,
  now: task.Instant,
): void {
  Object.assign(upstream, { reportedLoad: load ?? upstream.reportedLoad });
  if (coldMs > 0) Object.assign(upstream, { coldUntilMs: now.monotonicMs + coldMs });
}

/** Records what holds for one incarnation of the upstream. */
function recordOwnSignals(
  upstream: upstreams.Upstream,
  { version, limitPerS, isLeaving, pauseMs }: Signals,
  work: upstreams.InFlightRequest | undefined,
  now: task.Instant,
): void {
  if (version) upstreams.recordVersion(upstream, version.model, version.version);
  const heard = { perS: limitPerS, sentAtMs: work?.startedAtMs };
  Object.assign(upstream, {
    namedLimit: namedLimit.afterAnswer(upstream.namedLimit, heard, now.monotonicMs),
    isLeaving: upstream.isLeaving || isLeaving,
  });
  if (pauseMs !== undefined) upstreams.pause(upstream, pauseMs, now);
}

/** Marks the upstream as answering again. It may have restarted, so it counts as cold for `coldMs`. */
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

/** Evicts the oldest sent parts, and drops latency and load of an idle upstream so that it is tried again. */
export function trimHistory(upstream: upstreams.Upstream, nowMs: number): void {
  const surplus = upstream.recentlySentParts.size - MAX_RECENT_PARTS;
  [...upstream.recentlySentParts.keys()]
    .slice(0, Math.max(0, surplus))
    .forEach((key) => upstream.recentlySentParts.delete(key));
  if (upstream.inFlight.size > 0 || nowMs - upstream.lastByteAtMs < 2 * SILENCE_TIMEOUT_MS) return;
  Object.assign(upstream, { firstByteLatencyMs: undefined, reportedLoad: undefined });
}
