/** What attempts and probes tell about an upstream. */
import type * as lifecycle from '../gateway/lifecycle-state.js';
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';
import * as upstreams from './upstream.js';

/** How much each outcome counts as a fault; an upstream's own failure may be the caller's doing. */
const FAULT_WEIGHTS: Readonly<Record<lifecycle.Outcome, number>> = {
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
export const SILENCE_MS = 900;
/** How long work keeps away after a rejection: a load of weights takes this long or longer. */
const BUSY_MS = 700;
/** Weight of the newest measurement in the smoothed latency. */
const LATENCY_WEIGHT = 0.25;
/** Parts remembered for one upstream; its memory holds fewer. */
const MAX_RECENT_PARTS = 200;

/** Ends the work of a request and learns from its outcome. */
export function onOutcome(
  upstream: upstreams.Upstream,
  requestId: string,
  outcome: lifecycle.Outcome,
  now: task.Instant,
): void {
  upstream.underWay.delete(requestId);
  upstreams.addFaults(upstream, FAULT_WEIGHTS[outcome], now.monotonicMs);
  switch (outcome) {
    case 'unreachable':
      suspect(upstream);
      return;
    case 'silent':
      if (isSilent(upstream, now)) suspect(upstream);
      return;
    case 'rejected':
    case 'no-connection':
      Object.assign(upstream, { busyUntilMs: now.monotonicMs + BUSY_MS });
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

function suspect(upstream: upstreams.Upstream): void {
  Object.assign(upstream, { reach: { kind: 'silent' } });
}

/** Whether nothing has come from it although work has waited for an answer. */
export function isSilent({ heardAtMs }: upstreams.Upstream, now: task.Instant): boolean {
  return now.monotonicMs - heardAtMs >= SILENCE_MS;
}

export type Sign = {
  load: upstreams.Load | undefined;
  /** How long it says that it stays cold. */
  coldMs: number | undefined;
  version: upstreams.ModelVersion | undefined;
};

/** A byte came from the upstream. Returns the work whose first byte it is. */
export function onHeard(
  upstream: upstreams.Upstream,
  requestId: string | undefined,
  sign: Sign,
  now: task.Instant,
): upstreams.Work | undefined {
  Object.assign(upstream, { heardAtMs: now.monotonicMs, load: sign.load ?? upstream.load });
  if (sign.coldMs !== undefined && sign.coldMs > 0) {
    Object.assign(upstream, { coldUntilMs: now.monotonicMs + sign.coldMs });
  }
  if (sign.version) upstreams.noteVersion(upstream, sign.version.model, sign.version.version);
  const work = requestId === undefined ? undefined : upstream.underWay.get(requestId);
  if (!work || work.isAnswered) return undefined;
  work.isAnswered = true;
  const measuredMs = now.monotonicMs - work.startedAtMs;
  const known = upstream.latencyMs ?? measuredMs;
  const latencyMs = known + (measuredMs - known) * LATENCY_WEIGHT;
  Object.assign(upstream, { latencyMs });
  return work;
}

/** It answers again: it may have been restarted, so it counts as cold unless it says otherwise. */
export function onBack(upstream: upstreams.Upstream, coldMs: number, now: task.Instant): void {
  Object.assign(upstream, {
    reach: { kind: 'answers' },
    heardAtMs: now.monotonicMs,
    coldUntilMs: now.monotonicMs + coldMs,
    latencyMs: undefined,
  });
}

/** Bounds what is remembered of one upstream, and lets an old latency fade so that it is tried again. */
export function fade(upstream: upstreams.Upstream, nowMs: number): void {
  const surplus = upstream.recentParts.size - MAX_RECENT_PARTS;
  [...upstream.recentParts.keys()]
    .slice(0, Math.max(0, surplus))
    .forEach((key) => upstream.recentParts.delete(key));
  if (upstream.underWay.size > 0 || nowMs - upstream.heardAtMs < 2 * SILENCE_MS) return;
  Object.assign(upstream, { latencyMs: undefined, load: undefined });
}
