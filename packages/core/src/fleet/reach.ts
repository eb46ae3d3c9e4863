/**
 * Whether this instance reaches any upstream. One that is cut off from all of them would otherwise find each silent by
 * itself, at the price of a request. Its part of the state is updated in place, since no other task sees it.
 */
import type * as lifecycle from '../gateway/lifecycle-state.js';
import type * as task from '../kernel/task.js';
import type * as decide from './decide.js';
import * as reports from './reports.js';
import type * as fleet from './state.js';
import * as upstreams from './upstream.js';

export type Reach = { kind: 'reaches' } | { kind: 'cut-off'; sinceMs: number };

/** Updated in place. */
export type State = {
  reach: Reach;
  /**
   * When any upstream last gave a byte or answered a probe, in monotonic ms; at first, when this instance began to
   * watch. Undefined before that.
   */
  lastByteAtMs: number | undefined;
  /** Upstreams that this instance itself has found silent, and when, in monotonic ms. */
  foundSilent: Map<string, number>;
  probedAtMs: number;
};

type Commands = readonly decide.Command[];

/** At usual traffic, bytes of some upstream arrive every few ms. */
const QUIET_MS = 500;
/** Failures of single upstreams that coincide are rarer than a cut. */
const MIN_FAILED = 3;
/** A single request may wait this long for its first byte, such as one with a long prompt at night. */
const MIN_UNANSWERED = 2;
/** Bounds the price in a large deployment. */
const MAX_PROBES = 4;
const PROBE_INTERVAL_MS = 500;

export function create(): State {
  return {
    reach: { kind: 'reaches' },
    lastByteAtMs: undefined,
    foundSilent: new Map(),
    probedAtMs: -Infinity,
  };
}

export function isCutOff({ reach: { reach } }: fleet.State): boolean {
  return reach.kind === 'cut-off';
}

/** Whether this instance itself has found the upstream silent; one that has returned to the list only awaits its probe. */
export function isFoundSilent({ reach }: fleet.State, upstream: upstreams.Upstream): boolean {
  const { reachability, registration } = upstream;
  return reachability.kind === 'silent' && reach.foundSilent.has(registration.id);
}

/**
 * The outcome that counts against the upstream. While cut off, silence says nothing of it, and an upstream that was found
 * silent would be cold after the cut.
 */
export function outcomeOf(
  state: fleet.State,
  outcome: lifecycle.AttemptOutcome,
): lifecycle.AttemptOutcome {
  const isSilence = outcome === 'unreachable' || outcome === 'silent';
  return isSilence && isCutOff(state) ? 'cancelled' : outcome;
}

/** An upstream has given a byte, or answered a probe. */
export function onByte(state: fleet.State, now: task.Instant): Commands {
  const { reach } = state;
  const commands = isCutOff(state) ? change(state, { kind: 'reaches' }, now) : [];
  reach.lastByteAtMs = now.monotonicMs;
  return commands;
}

/** An attempt or a probe has failed. Failures of an upstream that was found silent before are no new evidence. */
export function onFailure(
  state: fleet.State,
  { registration: { id } }: upstreams.Upstream,
  before: upstreams.Reachability,
  now: task.Instant,
): Commands {
  const { foundSilent } = state.reach;
  if (before.kind === 'answers' || !foundSilent.has(id)) foundSilent.set(id, now.monotonicMs);
  return check(state, now);
}

export function onTick(state: fleet.State, now: task.Instant): Commands {
  const { foundSilent } = state.reach;
  [...foundSilent.keys()]
    .filter((id) => state.registry.upstreams.get(id)?.reachability.kind !== 'silent')
    .forEach((id) => foundSilent.delete(id));
  return check(state, now);
}

/** Judges the evidence, and probes for more where it is due. */
export function check(state: fleet.State, now: task.Instant): Commands {
  const { reach } = state;
  reach.lastByteAtMs ??= now.monotonicMs;
  const isQuiet = now.monotonicMs - reach.lastByteAtMs >= QUIET_MS;
  return isQuiet ? [...judge(state, now), ...probe(state, now)] : [];
}

function judge(state: fleet.State, now: task.Instant): Commands {
  const listed = listedOf(state);
  if (isCutOff(state)) {
    return listed.length === 0 ? change(state, { kind: 'reaches' }, now) : [];
  }
  const isCut =
    listed.length > 0 &&
    (failedSinceByte(state) >= MIN_FAILED || listed.every((each) => isFoundSilent(state, each)));
  return isCut ? change(state, { kind: 'cut-off', sinceMs: now.monotonicMs }, now) : [];
}

function change(state: fleet.State, to: Reach, now: task.Instant): Commands {
  const { reach } = state;
  reach.reach = to;
  return [
    {
      kind: 'record-reach',
      reach: to,
      silentForMs: now.monotonicMs - (reach.lastByteAtMs ?? now.monotonicMs),
      failed: failedSinceByte(state),
      listed: listedOf(state).length,
    },
  ];
}

function listedOf({ registry }: fleet.State): readonly upstreams.Upstream[] {
  return [...registry.upstreams.values()].filter(
    ({ registrationState }) => registrationState.kind === 'listed',
  );
}

function failedSinceByte({ reach: { foundSilent, lastByteAtMs = Infinity } }: fleet.State): number {
  return [...foundSilent.values()].filter((atMs) => atMs > lastByteAtMs).length;
}

/** Probes some upstreams that are not known to be silent; those that are have their health probes. */
function probe(state: fleet.State, now: task.Instant): Commands {
  const { reach } = state;
  if (now.monotonicMs - reach.probedAtMs < PROBE_INTERVAL_MS) return [];
  const isDue = isCutOff(state) || failedSinceByte(state) > 0 || isUnanswered(state, now);
  if (!isDue) return [];
  const candidates = listedOf(state).filter(
    (each) => each.reachability.kind === 'answers' && !upstreams.isPaused(each, now),
  );
  if (candidates.length === 0) return [];
  reach.probedAtMs = now.monotonicMs;
  const turn = Math.floor(now.monotonicMs / PROBE_INTERVAL_MS);
  const first = (turn * MAX_PROBES) % candidates.length;
  return chooseDiverse([...candidates.slice(first), ...candidates.slice(0, first)]).flatMap(
    ({ registration: { id } }) => reports.livenessProbe(state, id, now),
  );
}

/**
 * Whether upstreams owe answers to requests that were sent after the last byte of any, and one of them for long. Older
 * requests are slow ones: other upstreams have given bytes meanwhile.
 */
function isUnanswered({ registry, reach }: fleet.State, now: task.Instant): boolean {
  const { lastByteAtMs = Infinity } = reach;
  const sentAtMs = [...registry.upstreams.values()].flatMap(({ inFlight }) => {
    const sent = [...inFlight.values()].map(({ startedAtMs }) => startedAtMs);
    const since = sent.filter((atMs) => atMs > lastByteAtMs);
    return since.length > 0 ? [Math.min(...since)] : [];
  });
  return (
    sentAtMs.length >= Math.min(MIN_UNANSWERED, registry.upstreams.size) &&
    sentAtMs.some((atMs) => now.monotonicMs - atMs >= QUIET_MS)
  );
}

/** The first upstreams, with as many different data centres and services as there are. */
function chooseDiverse(candidates: readonly upstreams.Upstream[]): readonly upstreams.Upstream[] {
  const chosen = new Set<upstreams.Upstream>();
  const costOf = ({ registration }: upstreams.Upstream) =>
    [...chosen].reduce((cost, { registration: other }) => {
      const isNear = registration.dataCentre === other.dataCentre;
      return cost + (isNear ? 1 : 0) + (registration.service === other.service ? 1 : 0);
    }, 0);
  while (chosen.size < Math.min(MAX_PROBES, candidates.length)) {
    const costs = candidates.map((each) => (chosen.has(each) ? Infinity : costOf(each)));
    const next = candidates[costs.indexOf(Math.min(...costs))];
    if (!next) break;
    chosen.add(next);
  }
  return [...chosen];
}
