/**
 * Decides which upstreams get no requests because peers have found them silent. In a large deployment an
 * instance sends a request to each upstream every few seconds only; if each of them had to find out for
 * itself, an upstream that fails would cost every instance a request.
 */
import type * as fleet from '../fleet/state.js';
import type * as upstreams from '../fleet/upstream.js';
import type * as task from '../kernel/task.js';
import * as rows from './rows.js';
import type * as types from './types.js';

/** Peers repeat their rows twice a second; after three lost updates they no longer count. */
const STALE_AFTER_MS = 1_600;
/** Own evidence of this age goes before what peers tell: their way to the upstream may be cut. */
const OWN_EVIDENCE_MS = 1_500;
const MIN_REPORTERS = 2;

export type Change = { upstream: string; isReported: boolean };

/** Drops stale rows and decides anew. Returns the upstreams for which that changes something. */
export function refresh(state: fleet.State, now: task.Instant): readonly Change[] {
  const { heardFrom, reported } = state.silence;
  [...heardFrom]
    .filter(([, { receivedAtMs }]) => now.monotonicMs - receivedAtMs >= STALE_AFTER_MS)
    .forEach(([from]) => heardFrom.delete(from));
  if (heardFrom.size === 0 && reported.size === 0) return [];
  const silent = new Set(
    rows
      .total(state, ['own', 'group', 'fleet'])
      .filter((row) => isConfirmed(state, row, now))
      .map(({ upstream }) => upstream),
  );
  const ended = [...reported.keys()].filter((id) => !silent.has(id));
  const begun = [...silent].filter((id) => !reported.has(id));
  ended.forEach((id) => {
    reported.delete(id);
    markCold(state, id, now);
  });
  begun.forEach((id) => reported.set(id, now.monotonicMs));
  return [
    ...ended.map((upstream) => ({ upstream, isReported: false })),
    ...begun.map((upstream) => ({ upstream, isReported: true })),
  ];
}

/**
 * Two instances of the own data centre have found it, which use the same links, or instances of two data
 * centres. A cut between two data centres thus excludes nothing in a third.
 */
function isConfirmed(
  { registry, dataCentre }: fleet.State,
  { upstream: id, reporters }: types.Row,
  now: task.Instant,
): boolean {
  const upstream = registry.upstreams.get(id);
  if (!upstream || hasAnsweredLately(upstream, now)) return false;
  return (reporters.get(dataCentre) ?? 0) >= MIN_REPORTERS || reporters.size >= MIN_REPORTERS;
}

function hasAnsweredLately({ lastByteAtMs, reachability }: upstreams.Upstream, now: task.Instant) {
  return reachability.kind === 'answers' && now.monotonicMs - lastByteAtMs < OWN_EVIDENCE_MS;
}

/** It may have restarted, as after a silence that this instance has found itself. */
function markCold({ registry, services }: fleet.State, id: string, now: task.Instant): void {
  const upstream = registry.upstreams.get(id);
  if (!upstream) return;
  const coldMs = services.get(upstream.registration.service)?.coldStartMs ?? 0;
  const coldUntilMs = Math.max(upstream.coldUntilMs, now.monotonicMs + coldMs);
  Object.assign(upstream, { coldUntilMs });
}

export function isReported({ silence }: fleet.State, upstream: string): boolean {
  return silence.reported.has(upstream);
}
