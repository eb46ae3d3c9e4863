/** Reserves an upstream for a placed request: its rates, the work in flight, and what is expected of it. */
import * as task from '../kernel/task.js';
import type * as messages from '../messages/gateway.js';
import * as promptMix from '../prompt-mix/index.js';
import * as sharedContext from '../shared-context/index.js';
import * as speed from '../speed/index.js';
import * as canarySteps from './canary-steps.js';
import * as eligibility from './eligibility.js';
import type * as placement from './placement.js';
import * as promptPrefill from './prompt-prefill.js';
import * as rateLimit from './rate-limit.js';
import * as upstreams from './upstream.js';

type Estimated = Pick<placement.Candidate, 'upstream' | 'ahead' | 'tokens'>;

/** What the attempt is expected to take until its first event. */
function forecastOf(
  inputs: placement.Inputs,
  { upstream, ahead, tokens }: Estimated,
  promptTokens: number,
): speed.Forecast {
  const { ownTokens, peerTokens, usualPeerTokens, requests, blockedMs } = ahead;
  if (!inputs.service.engine) return speed.plainForecast(inputs, upstream);
  const work = {
    tokens: tokens + ownTokens + peerTokens,
    peerTokens,
    usualPeerTokens,
    running: requests,
  };
  return speed.promptForecast(inputs, upstream, {
    work,
    ownTokens: tokens,
    blockedMs,
    promptTokens,
  });
}

/** Records the work at the upstream and returns the destination with its context plan. */
export function reserve(
  inputs: placement.Inputs,
  { upstream, ahead, tokens }: Estimated,
  plan: promptMix.plan.Plan,
): messages.Destination {
  const { state, service, placementRequest, now } = inputs;
  const { id, address } = upstream.registration;
  const promptTokens = promptPrefill.promptTokens(placementRequest);
  const forecast = forecastOf(inputs, { upstream, ahead, tokens }, promptTokens);
  rateLimit
    .limitsOf(upstream, service, state.bounds, now.monotonicMs)
    .forEach((limit) => rateLimit.spend(state, upstream, limit, now.monotonicMs));
  canarySteps.recordPlaced(inputs, upstream);
  upstream.inFlight.set(placementRequest.requestId, {
    startedAtMs: now.monotonicMs,
    tokensToRead: tokens,
    promptTokens,
    tokensUntilFirstEvent: tokens + ahead.unreadTokens,
    hasFirstByte: false,
    forecast,
  });
  return {
    upstream: id,
    address,
    service: service.name,
    softwareVersion: upstream.registration.softwareVersion,
    context: contextPlanFor(inputs, upstream),
    turn: promptMix.priority.turnOf(plan, upstream, ahead, state.ranks),
    expected: {
      waitMs: Math.round(ahead.waitMs),
      tokensToRead: Math.round(tokens),
      weightVersion: upstream.versions.get(placementRequest.prompt?.model ?? '') ?? 0,
      replacedForMs: eligibility.outdatedForMs(inputs, upstream),
      ...(forecast.expectedMs > 0 ? { firstEventMs: Math.round(forecast.expectedMs) } : {}),
    },
    beginBy: beginBy(inputs, upstream),
  };
}

/** On the newest weights, a version that is named from now on leaves the whole bound. */
function beginBy(
  { state, placementRequest: { prompt }, now }: placement.Inputs,
  upstream: upstreams.Upstream,
): task.Instant | undefined {
  if (!prompt) return undefined;
  const whole = task.later(now, state.bounds.rolloutMs);
  return eligibility.beginBy(state, upstream, prompt.model, now) ?? whole;
}

function contextPlanFor(
  { state, service, placementRequest, now }: placement.Inputs,
  upstream: upstreams.Upstream,
) {
  if (!placementRequest.prompt || !service.engine) return undefined;
  const { prompt } = placementRequest;
  const situation = { inventory: state.inventory, stores: state.contextStores, now };
  const context = sharedContext.plan.create(
    situation,
    prompt,
    promptPrefill.saltOf(placementRequest, prompt, upstream),
  );
  upstreams.recordSentParts(upstream, context.salt, context.sharedParts, now);
  return context;
}
