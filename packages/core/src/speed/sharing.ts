/**
 * What instances tell each other of the speed of upstreams, beside their work in flight. Only upstreams
 * with new samples are told, a bounded number a second; a lost update costs a less exact prediction.
 */
import type * as fleet from '../fleet/state.js';
import type * as upstreams from '../fleet/upstream.js';
import type * as task from '../kernel/task.js';
import * as level from './level.js';
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
 * Rows of one instance's update, which is sent once a tick; 9 instances that send to each other then
 * receive less than 5 KB/s. Upstreams without room follow in the next updates.
 */
const MAX_OWN_ROWS = 6;
/** Rows of a reader's summary, so that it fits into one packet and its followers receive about 2 KB/s. */
const MAX_SUMMARY_ROWS = 25;
/** A slowdown of this age predicts nothing any more. */
const MAX_REPORT_AGE_MS = 2_000;
/** Bounds on what peers may tell, beyond any factor that is learned. */
const MAX_FACTOR = 100;

/** The updates that are due, if any; empties the list of changed upstreams as far as they are told. */
export function takeUpdates(state: fleet.State, now: task.Instant): readonly Update[] {
  const { outbox, registry, sharing, instance: from } = state;
  const isReader = sharing === 'as-reader';
  const newest = [...outbox.changedSpeeds].reverse();
  const taken = newest.slice(0, isReader ? MAX_SUMMARY_ROWS : MAX_OWN_ROWS);
  taken.forEach((id) => outbox.changedSpeeds.delete(id));
  const changed = taken.flatMap((id) => registry.upstreams.get(id) ?? []);
  if (changed.length === 0) return [];
  const update = (scope: types.Scope, heardScopes: readonly types.Scope[]): Update => ({
    from,
    scope,
    rows: changed.map((each) => rowOf(each, heardScopes, now)),
  });
  return isReader
    ? [update('group', ['own']), update('fleet', ['own', 'group'])]
    : [update('own', [])];
}

function rowOf(
  { registration, speed }: upstreams.Upstream,
  heardScopes: readonly types.Scope[],
  now: task.Instant,
): Row {
  const heard = heardScopes.flatMap((scope) => {
    const each = speed.heard.get(scope);
    return each ? [upstreamModel.fading(each, now.monotonicMs)] : [];
  });
  const { mean, samples } = level.combine([speed.level, ...heard], 0);
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

/** Scopes that count, as for updates about work; see `peer-updates`. */
const SCOPES_HEARD: Readonly<Record<fleet.State['sharing'], readonly types.Scope[]>> = {
  'with-all': ['own'],
  'through-reader': ['fleet'],
  'as-reader': ['own', 'group'],
};

/** Applies what a peer told; unknown upstreams are ignored. */
export function receive(state: fleet.State, update: Update, now: task.Instant): void {
  const { from, scope, rows } = update;
  if (from === state.instance || !SCOPES_HEARD[state.sharing].includes(scope)) return;
  rows.forEach((row) => {
    const upstream = state.registry.upstreams.get(row.upstream);
    if (!upstream) return;
    recordRow(upstream.speed, scope, row, now);
    if (state.sharing === 'as-reader') state.outbox.changedSpeeds.add(row.upstream);
  });
}

function recordRow(
  speed: types.UpstreamModel,
  scope: types.Scope,
  { factor, samples, slowdown }: Row,
  now: task.Instant,
): void {
  if (samples > 0) {
    const told = { mean: boundedLog(factor), samples };
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
