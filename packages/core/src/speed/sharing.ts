/**
 * What instances tell each other of the speed of upstreams, beside their work in flight. Only upstreams
 * with new samples are told, a bounded number a second; a lost update costs a less exact prediction.
 */
import * as peerWork from '../fleet/peer-work.js';
import type * as fleet from '../fleet/state.js';
import type * as upstreams from '../fleet/upstream.js';
import type * as task from '../kernel/task.js';
import * as level from './level.js';
import * as state from './state.js';
import type * as types from './types.js';
import * as upstreamModel from './upstream-model.js';

/** The speed of one upstream. */
export type Row = {
  upstream: string;
  /** Factor on the usual time that its work takes. */
  factor: number;
  /** Samples behind the factor; 0 if only the slowdown is told. */
  samples: number;
  /** The newest reported slowdown, and its age as the update was sent; undefined if none is known. */
  slowdown: { factor: number; ageMs: number } | undefined;
};

export type Update = { from: string; scope: types.Scope; rows: readonly Row[] };

/**
 * Interval of updates, at least one tick. Through readers, an update arrives after most slow spells have
 * ended; only levels are of use then, and they change slowly.
 */
const INTERVAL_MS: Readonly<Record<fleet.State['sharing'], number>> = {
  'with-all': 500,
  'through-reader': 1_000,
  'as-reader': 1_000,
};
/** Tolerance of the interval towards ticks that come a little early. */
const EARLY_TICK_MS = 50;
/** Rows of an update. A reader's summary fits into one packet; what is left follows in the next update. */
const MAX_ROWS: Readonly<Record<fleet.State['sharing'], number>> = {
  'with-all': 6,
  'through-reader': 4,
  'as-reader': 25,
};
/** A slowdown of this age predicts nothing any more. */
const MAX_REPORT_AGE_MS = 2_000;
/** Bounds on what peers may tell, beyond any factor that is learned. */
const MAX_FACTOR = 100;

/** The updates that are due, if any; empties the list of changed upstreams as far as they are told. */
export function takeUpdates(fleetState: fleet.State, now: task.Instant): readonly Update[] {
  const { outbox, registry, sharing, instance: from } = fleetState;
  const isDue = now.monotonicMs - outbox.speedsSentAtMs >= INTERVAL_MS[sharing] - EARLY_TICK_MS;
  if (!isDue || outbox.changedSpeeds.size === 0) return [];
  Object.assign(outbox, { speedsSentAtMs: now.monotonicMs });
  const taken = [...outbox.changedSpeeds].reverse().slice(0, MAX_ROWS[sharing]);
  taken.forEach((id) => outbox.changedSpeeds.delete(id));
  const changed = taken.flatMap((id) => registry.upstreams.get(id) ?? []);
  if (changed.length === 0) return [];
  const update = (scope: types.Scope, heardScopes: readonly types.Scope[]): Update => ({
    from,
    scope,
    rows: changed.map((each) => rowOf(fleetState, each, heardScopes, now)),
  });
  return sharing === 'as-reader'
    ? [update('group', ['own']), update('fleet', ['own', 'group'])]
    : [update('own', [])];
}

function rowOf(
  fleetState: fleet.State,
  { registration, speed }: upstreams.Upstream,
  heardScopes: readonly types.Scope[],
  now: task.Instant,
): Row {
  const heard = heardScopes.flatMap((scope) => {
    const each = speed.heard.get(scope);
    return each ? [upstreamModel.fading(each, now.monotonicMs)] : [];
  });
  const model = state.serviceModelOf(fleetState, registration.service);
  const own = upstreamModel.relative(model, speed.level);
  const { mean, samples } = level.combine([own, ...heard], 0);
  const ageMs = speed.report ? now.monotonicMs - speed.report.atMs : Infinity;
  return {
    upstream: registration.id,
    factor: Math.exp(mean),
    samples,
    slowdown:
      speed.report && ageMs < MAX_REPORT_AGE_MS
        ? { factor: Math.exp(speed.report.value), ageMs }
        : undefined,
  };
}

/** Applies what a peer told; unknown upstreams are ignored. */
export function receive(fleetState: fleet.State, update: Update, now: task.Instant): void {
  const { from, scope, rows } = update;
  if (from === fleetState.instance || !peerWork.SCOPES_HEARD[fleetState.sharing].includes(scope)) {
    return;
  }
  rows.forEach((row) => {
    const upstream = fleetState.registry.upstreams.get(row.upstream);
    if (!upstream) return;
    recordRow(upstream.speed, scope, row, now);
    if (fleetState.sharing === 'as-reader') fleetState.outbox.changedSpeeds.add(row.upstream);
  });
}

function recordRow(
  speed: types.UpstreamModel,
  scope: types.Scope,
  { factor, samples, slowdown }: Row,
  now: task.Instant,
): void {
  if (samples > 0) {
    const told = { mean: boundedLog(factor), samples: Math.min(samples, level.MAX_AVERAGED) };
    const before = speed.heard.get(scope);
    const kept = before ? upstreamModel.fading(before, now.monotonicMs) : level.NONE;
    speed.heard.set(scope, { level: merged(scope, kept, told), atMs: now.monotonicMs });
  }
  if (slowdown) {
    const atMs = now.monotonicMs - Math.max(0, slowdown.ageMs);
    upstreamModel.recordReport(speed, { value: boundedLog(slowdown.factor), atMs });
  }
}

/** A sum over all instances replaces the one before; those of single senders are averaged. */
function merged(scope: types.Scope, kept: types.Level, told: types.Level): types.Level {
  if (scope === 'fleet') return told;
  return level.average(kept, told);
}

function boundedLog(factor: number): types.LogFactor {
  return level.clamp(Math.log(factor), Math.log(MAX_FACTOR));
}
