/** The rate at which an upstream prefills prompts, and what an attempt is expected to take. */
import type * as fleet from '../fleet/state.js';
import type * as placement from '../fleet/placement.js';
import type * as upstreams from '../fleet/upstream.js';
import * as fit from './fit.js';
import * as serviceModel from './service-model.js';
import * as state from './state.js';
import type * as types from './types.js';
import * as upstreamModel from './upstream-model.js';

export type ReadingRate = {
  tokensPerMs: number;
  /** Expected distance between the logarithms of predicted and actual times; 1 before the first sample. */
  errorShare: number;
};

/** Largest error of a rate that has been measured. */
const MAX_MEASURED_ERROR_SHARE = 0.9;

/**
 * `service` is its name. Before the first sample, the rate is the one that callers' requirements imply;
 * `errorShare` is 1 then, and nothing should be refused because of it.
 */
export function readingRate(
  fleetState: fleet.State,
  service: string,
  { speed }: upstreams.Upstream,
  now: { monotonicMs: number },
): ReadingRate {
  const model = state.serviceModelOf(fleetState, service);
  const { coefficients, samples, errorShare } = model.fit;
  if (samples === 0 || coefficients.msPerToken <= 0) {
    return { tokensPerMs: Math.max(1, model.requiredTokensPerMs), errorShare: 1 };
  }
  const scale = Math.exp(upstreamModel.factor(model, speed, now.monotonicMs));
  const known = upstreamModel.currentLevel(model, speed, now.monotonicMs).samples;
  return {
    tokensPerMs: 1 / (coefficients.msPerToken * scale),
    errorShare: Math.min(MAX_MEASURED_ERROR_SHARE, errorShare * Math.sqrt(1 + 1 / (1 + known))),
  };
}

/** What a request that runs at the upstream adds to the time to a new one's first event, in ms. */
export function perRunningMs(inputs: placement.Inputs, { speed }: upstreams.Upstream): number {
  const model = state.serviceModelOf(inputs.state, inputs.service.name);
  const scale = Math.exp(upstreamModel.factor(model, speed, inputs.now.monotonicMs));
  return model.fit.coefficients.msPerRunning * scale;
}

/** Time for which a prompt occupies an upstream of the service; 0 while that is unknown. */
export function residenceMs({ state: fleetState, service }: placement.Inputs): number {
  return serviceModel.levelMs(state.serviceModelOf(fleetState, service.name).residence);
}

/** What peers have ahead of a new prompt, as far as it delays that. */
export type PeerTokens = Pick<types.Work, 'peerTokens' | 'usualPeerTokens'>;

/** The tokens at the upstream's rate that count for what peers told of theirs some time ago. */
export function effectiveTokens(
  { state: fleetState, service }: placement.Inputs,
  peers: PeerTokens,
): number {
  const { coefficients } = state.serviceModelOf(fleetState, service.name).fit;
  if (coefficients.msPerToken <= 0) return peers.peerTokens;
  return fit.aheadMs(coefficients, peers) / coefficients.msPerToken;
}

/** The mean over upstreams is used this long, so that a placement computes it at most once. */
const USUAL_PEER_TOKENS_MS = 25;

/** Tokens that peers have unread on average at the upstreams of the service. */
export function usualPeerTokens(
  { state: fleetState, service, now }: placement.Inputs,
  peerTokensAt: (upstream: upstreams.Upstream) => number,
): number {
  const model = state.serviceModelOf(fleetState, service.name);
  const { tokens, atMs } = model.usualPeerTokens;
  if (now.monotonicMs - atMs < USUAL_PEER_TOKENS_MS) return tokens;
  const used = [...fleetState.registry.upstreams.values()].filter(
    ({ registration, registrationState }) =>
      registration.service === service.name && registrationState.kind === 'listed',
  );
  const sum = used.reduce((total, each) => total + peerTokensAt(each), 0);
  const mean = sum / Math.max(1, used.length);
  Object.assign(model, { usualPeerTokens: { tokens: mean, atMs: now.monotonicMs } });
  return mean;
}

export type PromptWork = {
  work: types.Work;
  /** Tokens of the prompt that are not cached, and all of them. */
  ownTokens: number;
  promptTokens: number;
  blockedMs: number;
};

/** What an attempt is expected to take until its first event. */
export function promptForecast(
  { state: fleetState, service, placementRequest, now }: placement.Inputs,
  { speed }: upstreams.Upstream,
  { work, ownTokens, blockedMs, promptTokens }: PromptWork,
): types.Forecast {
  const model = state.serviceModelOf(fleetState, service.name);
  const required = promptTokens / Math.max(1, placementRequest.latencyTargetMs);
  Object.assign(model, { requiredTokensPerMs: Math.max(model.requiredTokensPerMs, required) });
  const factor = upstreamModel.factor(model, speed, now.monotonicMs);
  const readMs = fit.expectedMs(model.fit.coefficients, work, factor);
  return { kind: 'prompt', expectedMs: blockedMs + readMs, work, ownTokens, blockedMs };
}
