/** Whether an upstream may take a request at all: registered, answering, and with weights that are still valid. */
import * as task from '../kernel/task.js';
import * as targets from '../rollouts/targets.js';
import * as coldRateLimit from './cold-rate-limit.js';
import type * as placement from './placement.js';
import type * as fleet from './state.js';
import type * as upstreams from './upstream.js';

/** Subtracted from the rollout bound: a request needs some time to reach its upstream. */
const ROLLOUT_MARGIN_MS = 700;
/** By how much the wait at an upstream may exceed its estimate. */
const MAX_WAIT_FACTOR = 2;

/** Whether new work may be sent to the upstream at all. */
export function isEligible(inputs: placement.Inputs, upstream: upstreams.Upstream): boolean {
  const { state, placementRequest, now } = inputs;
  const { registration, registrationState, reachability } = upstream;
  const isRegistered =
    registrationState.kind === 'listed' ||
    (registrationState.kind === 'missing' && now.monotonicMs < registrationState.untilMs);
  return (
    isRegistered &&
    reachability.kind === 'answers' &&
    registration.service === placementRequest.service &&
    !state.evacuatedDataCentres.has(registration.dataCentre) &&
    !placementRequest.excludedUpstreams.includes(registration.id) &&
    servesModel(placementRequest, registration) &&
    mayStillBegin(inputs, upstream, 0)
  );
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

function servesModel({ prompt }: placement.Request, { models }: upstreams.Registration): boolean {
  return !prompt || models.some(({ model }) => model === prompt.model);
}

export function isWithinColdRate(
  { state, service, now }: placement.Inputs,
  upstream: upstreams.Upstream,
): boolean {
  if (!coldRateLimit.isCold(upstream, now.monotonicMs) || service.coldPerS <= 0) return true;
  return coldRateLimit.maySend(state, service, upstream, now.monotonicMs);
}
