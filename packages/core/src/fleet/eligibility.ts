/** Whether a request may be sent to an upstream, why not, and until when. */
import * as applied from '../canary/applied.js';
import type * as side from '../canary/side.js';
import * as task from '../kernel/task.js';
import * as targets from '../rollouts/targets.js';
import type * as placement from './placement.js';
import * as reach from './reach.js';
import * as rateLimit from './rate-limit.js';
import * as results from '../results/index.js';
import * as silence from '../silence/index.js';
import type * as fleet from './state.js';
import * as upstreams from './upstream.js';

/** Subtracted from the rollout bound: a request needs some time to reach its upstream. */
const ROLLOUT_MARGIN_MS = 700;
/** By how much the wait at an upstream may exceed its estimate. */
const MAX_WAIT_FACTOR = 2;

/** Why the upstream gets no request. `untilMs`: when it may, in monotonic ms; infinite if that is not known. */
export type Exclusion =
  | { kind: 'other-model' }
  /** The stream began at another version of the upstreams' software. */
  | { kind: 'other-software-version' }
  /** A release keeps the request from this version of the upstreams' software. */
  | { kind: 'other-release' }
  /** The request has been there already. */
  | { kind: 'tried' }
  | { kind: 'not-listed' }
  /** It has said that it is leaving. */
  | { kind: 'leaving' }
  | { kind: 'silent' }
  /** Peers have found it silent. */
  | { kind: 'reported-silent' }
  | { kind: 'evacuated' }
  | { kind: 'replaced-weights' }
  /** It has turned a request away and named a time; until then it wants none. */
  | { kind: 'paused'; untilMs: number }
  | { kind: rateLimit.Reason; untilMs: number };

/** The first reason that holds; undefined if the request may be sent there. */
function findExclusion(
  inputs: placement.Inputs,
  upstream: upstreams.Upstream,
): Exclusion | undefined {
  const { state, placementRequest, now } = inputs;
  const { registration, reachability, isLeaving } = upstream;
  if (!isListed(upstream, now)) return { kind: 'not-listed' };
  if (!hasSoftwareVersion(placementRequest, registration)) {
    return { kind: 'other-software-version' };
  }
  if (isLeaving) return { kind: 'leaving' };
  if (state.evacuatedDataCentres.has(registration.dataCentre)) return { kind: 'evacuated' };
  if (placementRequest.excludedUpstreams.includes(registration.id)) return { kind: 'tried' };
  if (!servesModel(placementRequest, registration)) return { kind: 'other-model' };
  if (reachability.kind === 'silent') return { kind: 'silent' };
  if (silence.judgement.isReported(state, registration.id)) return { kind: 'reported-silent' };
  if (!mayStillBegin(inputs, upstream, 0)) return { kind: 'replaced-weights' };
  if (upstreams.isPaused(upstream, now)) return { kind: 'paused', untilMs: upstream.pausedUntilMs };
  return rateExclusion(inputs, upstream);
}

export type Judged = {
  /** The upstreams that the request may be sent to. */
  available: upstreams.Upstream[];
  /** These, and those that it may be sent to soon. */
  eligible: upstreams.Upstream[];
  exclusions: Exclusion[];
};

/** Judges all upstreams of the request's service, as a release divides them. */
export function judgeAll(
  inputs: placement.Inputs,
  division: applied.Division,
  assignment: side.Assignment,
): Judged {
  const judged: Judged = { available: [], eligible: [], exclusions: [] };
  inputs.state.registry.upstreams.forEach((upstream) => {
    if (upstream.registration.service !== inputs.service.name) return;
    const { softwareVersion } = upstream.registration;
    const exclusion = applied.allows(division, assignment, softwareVersion)
      ? findExclusion(inputs, upstream)
      : ({ kind: 'other-release' } as const);
    if (exclusion) judged.exclusions.push(exclusion);
    else judged.available.push(upstream);
    if (!exclusion || isPassing(exclusion)) judged.eligible.push(upstream);
  });
  return judged;
}

/** Whether this instance itself has found silent all upstreams that would take such a request. */
export function areAllSilent({ state, service, placementRequest, now }: placement.Inputs): boolean {
  const able = [...state.registry.upstreams.values()].filter(
    (each) =>
      each.registration.service === service.name &&
      isListed(each, now) &&
      !each.isLeaving &&
      !state.evacuatedDataCentres.has(each.registration.dataCentre) &&
      hasSoftwareVersion(placementRequest, each.registration) &&
      servesModel(placementRequest, each.registration),
  );
  return able.length > 0 && able.every((each) => reach.isFoundSilent(state, each));
}

export type PassingExclusion = Extract<Exclusion, { untilMs: number }>;

function isPassing(exclusion: Exclusion): exclusion is PassingExclusion {
  switch (exclusion.kind) {
    case 'paused':
    case 'cold':
    case 'limited':
      return true;
    case 'other-model':
    case 'other-software-version':
    case 'other-release':
    case 'tried':
    case 'not-listed':
    case 'leaving':
    case 'silent':
    case 'reported-silent':
    case 'evacuated':
    case 'replaced-weights':
      return false;
    default:
      return results.assertNever(exclusion);
  }
}

export function firstToEnd(exclusions: readonly Exclusion[]): PassingExclusion | undefined {
  return exclusions.filter(isPassing).sort((a, b) => a.untilMs - b.untilMs)[0];
}

/** How many upstreams are excluded for each reason, for the journal. */
export function summarize(exclusions: readonly Exclusion[]): string {
  const counts = new Map<Exclusion['kind'], number>();
  exclusions.forEach(({ kind }) => counts.set(kind, (counts.get(kind) ?? 0) + 1));
  return [...counts].map(([kind, count]) => `${count} ${kind}`).join(', ');
}

function isListed({ registrationState }: upstreams.Upstream, now: task.Instant): boolean {
  switch (registrationState.kind) {
    case 'listed':
      return true;
    case 'missing':
      return now.monotonicMs < registrationState.untilMs;
    case 'draining':
    case 'gone':
      return false;
    default:
      return results.assertNever(registrationState);
  }
}

/** The limit that holds the request back for longest. */
function rateExclusion(
  { state, service, now: { monotonicMs } }: placement.Inputs,
  upstream: upstreams.Upstream,
): Exclusion | undefined {
  const limits = rateLimit.limitsOf(upstream, service, state.bounds, monotonicMs);
  if (limits.length === 0) return undefined;
  return limits
    .map((limit) => ({
      kind: limit.reason,
      untilMs: monotonicMs + rateLimit.waitMs(state, upstream, limit, monotonicMs),
    }))
    .filter(({ untilMs }) => untilMs > monotonicMs)
    .sort((a, b) => b.untilMs - a.untilMs)[0];
}

/**
 * Requests must not begin on weights that were replaced too long ago. One begins with its first token,
 * so the work ahead of it and its own prompt count.
 */
export function mayStillBegin(
  inputs: placement.Inputs,
  upstream: upstreams.Upstream,
  untilBeginMs: number,
): boolean {
  const outdatedMs = outdatedForMs(inputs, upstream);
  const expectedMs = untilBeginMs * MAX_WAIT_FACTOR + ROLLOUT_MARGIN_MS;
  return outdatedMs === undefined || outdatedMs + expectedMs <= inputs.state.bounds.rolloutMs;
}

/** Time since the weights of the upstream were replaced; undefined if they are the newest. */
export function outdatedForMs(
  { state, placementRequest: { prompt }, now }: placement.Inputs,
  upstream: upstreams.Upstream,
): number | undefined {
  return prompt && modelOutdatedForMs(state, upstream, prompt.model, now);
}

function modelOutdatedForMs(
  { targetVersions }: fleet.State,
  { versions }: upstreams.Upstream,
  model: string,
  now: task.Instant,
): number | undefined {
  return targets.outdatedForMs(targetVersions.get(model), versions.get(model) ?? 0, now);
}

/** Until when a prompt may begin on weights that were replaced; undefined on the newest. */
export function beginBy(
  state: fleet.State,
  upstream: upstreams.Upstream,
  model: string,
  now: task.Instant,
): task.Instant | undefined {
  const outdatedMs = modelOutdatedForMs(state, upstream, model, now);
  return outdatedMs === undefined
    ? undefined
    : task.later(now, state.bounds.rolloutMs - outdatedMs);
}

function hasSoftwareVersion(
  { softwareVersion }: placement.Request,
  registration: upstreams.Registration,
): boolean {
  return softwareVersion === undefined || softwareVersion === registration.softwareVersion;
}

function servesModel({ prompt }: placement.Request, { models }: upstreams.Registration): boolean {
  return !prompt || models.some(({ model }) => model === prompt.model);
}
