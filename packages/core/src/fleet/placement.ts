/** Where a request goes: the upstream with the least expected time to the first byte. */
import type * as request from '../gateway/request.js';
import type * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import * as rendezvous from '../membership/rendezvous.js';
import type * as messages from '../messages/gateway.js';
import * as wave from '../rollouts/wave.js';
import * as sharedContext from '../shared-context/index.js';
import * as coldRateLimit from './cold-rate-limit.js';
import * as queue from './queue.js';
import * as prefillRate from './prefill-rate.js';
import * as promptPrefill from './prompt-prefill.js';
import type * as fleet from './state.js';
import * as upstreams from './upstream.js';

export type Request = {
  requestId: string;
  service: string;
  prompt: request.Prompt | undefined;
  /** The client account's name if it shares no context. */
  isolatedAccount: string | undefined;
  excludedUpstreams: readonly string[];
  /** The time to the first part of the answer that callers count on. */
  latencyTargetMs: number;
  /** Whether it may be refused: not once an answer has begun. */
  mayRefuse: boolean;
};

export type Decision =
  | { kind: 'placed'; destination: messages.Destination; costMs: number; candidates: number }
  | { kind: 'none'; reason: messages.PlacementRefusal };

/** The way to another data centre and back, with the price of the bytes between them. */
const OTHER_DATA_CENTRE_COST_MS = 10;
/** Keeps requests with the same context together where all else is equal. */
const AFFINITY_STEP_COST_MS = 3;
/** Weights that were replaced a while ago: the answer is worth a fifth less. */
const OUTDATED_WEIGHTS_COST_MS = 160;
/** Until then an answer of replaced weights is worth as much as another. */
const OUTDATED_WEIGHTS_GRACE_MS = 1_500;
/** An upstream that may take a request now may begin it a little later. */
const ROLLOUT_MARGIN_MS = 700;
/** About to load weights: new work would have to wait for that. */
const CURRENT_WAVE_COST_MS = 4_000;
/** Runs dry for the next load: used only where all others are much slower. */
const NEXT_WAVE_COST_MS = 1_500;
/** Each recent fault, as a wait. */
const FAULT_COST_MS = 80;
/** Rejected work a moment ago: it would most likely reject this as well, at the cost of a retry. */
const BACKOFF_COST_MS = 3_000;
/** A cold upstream is slower. */
const COLD_COST_MS = 40;
/** Share of the target that work ahead may take: reading the prompt itself needs the rest. */
const MAX_WAIT_SHARE = 0.75;
/** Of the smoothed latency, what counts. At an engine it follows the prompts more than the engine. */
const LATENCY_SHARE = 0.5;
const ENGINE_LATENCY_SHARE = 0.1;

/** An upstream that may take the request, with what was reckoned of it. */
type Candidate = {
  upstream: upstreams.Upstream;
  ahead: queue.Estimate;
  /** Tokens of the prompt that have to get there by reading; a fetch counts for a share of them. */
  tokens: number;
  costMs: number;
};

export type Inputs = {
  state: fleet.State;
  service: routes.Service;
  placementRequest: Request;
  now: task.Instant;
};

export function place(state: fleet.State, wish: Request, now: task.Instant): Decision {
  const service = state.services.get(wish.service);
  if (!service) return { kind: 'none', reason: 'unknown-service' };
  const view: Inputs = { state, service, placementRequest: wish, now };
  const usable = [...state.registry.upstreams.values()].filter((each) => isEligible(view, each));
  if (usable.length === 0) return { kind: 'none', reason: 'none-usable' };
  const open = usable.filter((each) => isWithinColdRate(view, each));
  if (open.length === 0) return { kind: 'none', reason: 'cold' };
  const waves = rolloutWaves(view, usable);
  const ranks = affinityCostsMs(view, open);
  const toRead = promptPrefill.prefillEstimator(view);
  const candidates = open
    .map((each): Candidate => {
      const ahead = queue.estimate(view, each);
      const tokens = toRead(each);
      const rankMs = ranks.get(each.registration.id) ?? 0;
      return {
        upstream: each,
        ahead,
        tokens,
        costMs: expectedCostMs(view, each, ahead, tokens, waves) + rankMs,
      };
    })
    .sort((a, b) => a.costMs - b.costMs);
  const best = candidates[0];
  if (!best || exceedsWaitLimit(view, best)) return { kind: 'none', reason: 'full' };
  return {
    kind: 'placed',
    destination: reserve(view, best),
    costMs: Math.round(best.costMs),
    candidates: open.length,
  };
}

/**
 * Whether the first part of the answer would come too late to be of full use. Work beyond that would
 * make all that follows late as well, so it is refused while its caller can still go elsewhere.
 */
function exceedsWaitLimit({ placementRequest }: Inputs, { ahead }: Candidate): boolean {
  return (
    placementRequest.mayRefuse && ahead.waitMs > placementRequest.latencyTargetMs * MAX_WAIT_SHARE
  );
}

/** Whether new work may go there at all. */
export function isEligible(view: Inputs, upstream: upstreams.Upstream): boolean {
  const { state, placementRequest } = view;
  const { registration, registrationState, reachability } = upstream;
  const isStanding = registrationState.kind === 'listed' || registrationState.kind === 'missing';
  return (
    isStanding &&
    reachability.kind === 'answers' &&
    registration.service === placementRequest.service &&
    !state.evacuatedDataCentres.has(registration.dataCentre) &&
    !placementRequest.excludedUpstreams.includes(registration.id) &&
    servesModel(placementRequest, registration) &&
    !hasExpiredWeights(view, upstream)
  );
}

/** Requests must not begin on weights that were replaced too long ago. */
function hasExpiredWeights(
  { state, placementRequest, now }: Inputs,
  upstream: upstreams.Upstream,
): boolean {
  const named = state.targetVersions.get(placementRequest.prompt?.model ?? '');
  if (!named || !hasOutdatedWeights(state, placementRequest, upstream)) return false;
  return now.monotonicMs - named.sinceMs > state.bounds.rolloutMs - ROLLOUT_MARGIN_MS;
}

function servesModel({ prompt }: Request, { models }: upstreams.Registration): boolean {
  return !prompt || models.some(({ model }) => model === prompt.model);
}

function isWithinColdRate({ state, service, now }: Inputs, upstream: upstreams.Upstream): boolean {
  if (!coldRateLimit.isCold(upstream, now.monotonicMs) || service.coldPerS <= 0) return true;
  return coldRateLimit.maySend(state, service, upstream, now.monotonicMs);
}

type Waves = { current: ReadonlySet<string>; next: ReadonlySet<string> };

function rolloutWaves(
  { state, placementRequest }: Inputs,
  usable: readonly upstreams.Upstream[],
): Waves {
  const model = placementRequest.prompt?.model;
  const version = model === undefined ? undefined : state.targetVersions.get(model)?.version;
  if (model === undefined || version === undefined) return { current: new Set(), next: new Set() };
  const candidates = usable.map((each) => ({
    id: each.registration.id,
    version: each.versions.get(model) ?? 0,
  }));
  const { current, next } = wave.chooseWaves(model, version, candidates);
  return { current: new Set(current), next: new Set(next) };
}

/** Small costs in the order of rendezvous hashing of the last part that requests share. */
function affinityCostsMs(
  { placementRequest }: Inputs,
  open: readonly upstreams.Upstream[],
): ReadonlyMap<string, number> {
  const key = placementRequest.prompt?.parts.at(-2)?.id ?? placementRequest.requestId;
  const ranked = rendezvous.rank(
    key,
    open.map(({ registration }) => registration.id),
  );
  return new Map(ranked.map((id, at) => [id, at * AFFINITY_STEP_COST_MS]));
}

function expectedCostMs(
  view: Inputs,
  upstream: upstreams.Upstream,
  ahead: queue.Estimate,
  tokens: number,
  waves: Waves,
): number {
  const { state, now } = view;
  const { registration, firstByteLatencyMs = 0 } = upstream;
  const isElsewhere = registration.dataCentre !== state.dataCentre;
  return (
    ahead.costMs +
    tokens / prefillRate.tokensPerMs(view.state, view.service.name) +
    firstByteLatencyMs * (view.service.engine ? ENGINE_LATENCY_SHARE : LATENCY_SHARE) +
    upstreams.currentFaultScore(upstream, now.monotonicMs) * FAULT_COST_MS +
    (isElsewhere ? OTHER_DATA_CENTRE_COST_MS : 0) +
    (upstream.backoffUntilMs > now.monotonicMs ? BACKOFF_COST_MS : 0) +
    (coldRateLimit.isCold(upstream, now.monotonicMs) ? COLD_COST_MS : 0) +
    outdatedWeightsCostMs(view, upstream) +
    (waves.current.has(registration.id) ? CURRENT_WAVE_COST_MS : 0) +
    (waves.next.has(registration.id) ? NEXT_WAVE_COST_MS : 0)
  );
}

function outdatedWeightsCostMs(
  { state, placementRequest, now }: Inputs,
  upstream: upstreams.Upstream,
): number {
  const named = state.targetVersions.get(placementRequest.prompt?.model ?? '');
  if (!named || !hasOutdatedWeights(state, placementRequest, upstream)) return 0;
  return now.monotonicMs - named.sinceMs > OUTDATED_WEIGHTS_GRACE_MS ? OUTDATED_WEIGHTS_COST_MS : 0;
}

function hasOutdatedWeights(
  { targetVersions }: fleet.State,
  { prompt }: Request,
  { versions }: upstreams.Upstream,
) {
  if (!prompt) return false;
  return (versions.get(prompt.model) ?? 0) < (targetVersions.get(prompt.model)?.version ?? 0);
}

/** Notes the work at the upstream and says what the attempt names of kept context. */
function reserve(view: Inputs, { upstream, ahead, tokens }: Candidate): messages.Destination {
  const { state, service, placementRequest, now } = view;
  const { id, address } = upstream.registration;
  if (service.coldPerS > 0 && coldRateLimit.isCold(upstream, now.monotonicMs)) {
    coldRateLimit.recordSend(state, service, upstream, now.monotonicMs);
  }
  upstream.inFlight.set(placementRequest.requestId, {
    startedAtMs: now.monotonicMs,
    tokensToRead: tokens,
    promptTokens: promptPrefill.promptTokens(placementRequest),
    tokensUntilFirstEvent: tokens + ahead.unreadTokens,
    hasFirstByte: false,
  });
  return {
    upstream: id,
    address,
    service: service.name,
    context: contextPlanFor(view, upstream),
    expected: { waitMs: Math.round(ahead.waitMs), tokensToRead: Math.round(tokens) },
  };
}

function contextPlanFor(
  { state, service, placementRequest, now }: Inputs,
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
