/** Chooses the upstream for a request: the candidate with the lowest expected time to first byte. */
import type * as applied from '../canary/applied.js';
import type * as side from '../canary/side.js';
import type * as request from '../gateway/request.js';
import type * as routes from '../gateway/routes.js';
import * as task from '../kernel/task.js';
import * as rendezvous from '../membership/rendezvous.js';
import type * as messages from '../messages/gateway.js';
import * as wave from '../rollouts/wave.js';
import * as sharedContext from '../shared-context/index.js';
import * as canarySteps from './canary-steps.js';
import * as eligibility from './eligibility.js';
import * as placeCost from './place-cost.js';
import * as queue from './queue.js';
import * as prefillRate from './prefill-rate.js';
import * as promptPrefill from './prompt-prefill.js';
import * as rateLimit from './rate-limit.js';
import * as refusals from './refusals.js';
import * as sampling from './sampling.js';
import type * as fleet from './state.js';
import * as upstreams from './upstream.js';

export type Request = {
  requestId: string;
  service: string;
  prompt: request.Prompt | undefined;
  /** Name of what the request asks for, the same in each of its caller's attempts. */
  content: string;
  /** Empty without one. */
  clientAccount: string;
  /** Name of the client account if it shares no context with others. */
  isolatedAccount: string | undefined;
  excludedUpstreams: readonly string[];
  /** The only one at which the request may run; undefined if any will do. */
  softwareVersion: string | undefined;
  /** Time to the first part of the answer that callers rely on. */
  latencyTargetMs: number;
  /** Whether the request may be refused; false once an answer has begun. */
  mayRefuse: boolean;
  /** Whether an attempt before this one may have run. */
  isRepeat: boolean;
  /** Whether the caller has a part of the stream already, which only the rest makes worth anything. */
  isResumed: boolean;
};

export type Decision =
  | { kind: 'placed'; destination: messages.Destination; costMs: number; candidates: number }
  | refusals.Refusal;

/** Round trip to another data centre, plus the price of the bytes between data centres. */
const OTHER_DATA_CENTRE_COST_MS = 10;
/** Cost per affinity rank; keeps requests with the same context together when other costs are equal. */
const AFFINITY_STEP_COST_MS = 3;
/** An answer from weights past `OUTDATED_WEIGHTS_GRACE_MS` is worth a fifth less. */
const OUTDATED_WEIGHTS_COST_MS = 160;
/** For this long after a replacement, an answer from the old weights is worth as much as any other. */
const OUTDATED_WEIGHTS_GRACE_MS = 1_500;
/** The upstream is about to load weights; new work would wait for the load. */
const CURRENT_WAVE_COST_MS = 4_000;
/** The upstream is kept free of new work before its next load; chosen only if all others are much slower. */
const NEXT_WAVE_COST_MS = 1_500;
/** Cost per unit of the upstream's decayed fault score. */
const FAULT_COST_MS = 80;
/** The upstream rejected work recently and would most likely reject this too, which costs a retry. */
const BACKOFF_COST_MS = 3_000;
/** A cold upstream answers more slowly. */
const COLD_COST_MS = 40;
/** Share of the latency target that queued work may take; reading the prompt needs the rest. */
const MAX_WAIT_SHARE = 0.75;
/** The same for a stream that is resumed: few upstreams may have its software version. */
const MAX_RESUMED_WAIT_SHARE = 2;
/** Share of the smoothed latency that counts. At an engine, latency depends more on prompts than on the engine. */
const LATENCY_SHARE = 0.5;
const ENGINE_LATENCY_SHARE = 0.1;

/** An upstream that may take the request, with its estimates. */
type Candidate = {
  upstream: upstreams.Upstream;
  ahead: queue.Estimate;
  /** Prompt tokens that the upstream still has to read; tokens fetched from a store count for a share. */
  tokens: number;
  costMs: number;
};

export type Inputs = {
  state: fleet.State;
  service: routes.Service;
  placementRequest: Request;
  now: task.Instant;
};

export function place(state: fleet.State, placementRequest: Request, now: task.Instant): Decision {
  const service = state.services.get(placementRequest.service);
  if (!service) return refusals.none('unknown-service');
  const inputs: Inputs = { state, service, placementRequest, now };
  placeCost.recordPrompt(inputs);
  const division = canarySteps.divide(inputs);
  return division.assignments.reduce<Decision>(
    (found, assignment) =>
      found.kind === 'placed' ? found : placeAmong(inputs, division, assignment),
    refusals.none('none-usable'),
  );
}

function placeAmong(
  inputs: Inputs,
  division: applied.Division,
  assignment: side.Assignment,
): Decision {
  const { placementRequest, now } = inputs;
  const { available, eligible, exclusions } = eligibility.judgeAll(inputs, division, assignment);
  if (available.length === 0) return refusals.noneAvailable(exclusions, now);
  const waves = rolloutWaves(inputs, eligible);
  const isInWave = (id: string) => waves.current.has(id) || waves.next.has(id);
  const sampled = sampling.select(inputs, available, affinityKey(placementRequest), isInWave);
  const compared = rankCandidates(inputs, sampled, waves);
  const isSampleFull = compared.every((each) => exceedsWaitLimit(inputs, each));
  const ranked =
    isSampleFull && sampled.length < available.length
      ? rankCandidates(inputs, available, waves)
      : compared;
  if (ranked.length === 0) return refusals.none('none-usable');
  const best = ranked.find((each) => !exceedsWaitLimit(inputs, each));
  if (!best) return refusals.none('full', freeInMs(inputs, ranked));
  return {
    kind: 'placed',
    destination: reserve(inputs, best),
    costMs: Math.round(best.costMs),
    candidates: sampled.length,
  };
}

/** Time until the least busy upstream has little enough work ahead. */
function freeInMs({ placementRequest }: Inputs, ranked: readonly Candidate[]): number {
  const leastMs = Math.min(...ranked.map(({ ahead }) => ahead.waitMs));
  return Math.max(0, Math.ceil(leastMs - maxWaitMs(placementRequest)));
}

function maxWaitMs({ latencyTargetMs, isResumed }: Request): number {
  return latencyTargetMs * (isResumed ? MAX_RESUMED_WAIT_SHARE : MAX_WAIT_SHARE);
}

/** The upstreams on which the request may still begin in time, the cheapest first. */
function rankCandidates(
  inputs: Inputs,
  compared: readonly upstreams.Upstream[],
  waves: Waves,
): readonly Candidate[] {
  const { state, service } = inputs;
  const affinityCosts = affinityCostsMs(inputs, compared);
  const estimateTokens = promptPrefill.prefillEstimator(inputs);
  const readingRate = prefillRate.tokensPerMs(state, service.name);
  return compared
    .map((each): Candidate => {
      const ahead = queue.estimate(inputs, each);
      const tokens = estimateTokens(each);
      const affinityMs = affinityCosts.get(each.registration.id) ?? 0;
      return {
        upstream: each,
        ahead,
        tokens,
        costMs: expectedCostMs(inputs, each, ahead, tokens, waves) + affinityMs,
      };
    })
    .filter(({ upstream, ahead, tokens }) =>
      eligibility.mayStillBegin(inputs, upstream, ahead.waitMs + tokens / readingRate),
    )
    .sort((a, b) => a.costMs - b.costMs);
}

/**
 * Whether the first part of the answer would come too late to be of full use. Accepting such work
 * would delay all later requests too, so it is refused while the caller can still go elsewhere.
 */
function exceedsWaitLimit({ placementRequest }: Inputs, { ahead }: Candidate): boolean {
  return placementRequest.mayRefuse && ahead.waitMs > maxWaitMs(placementRequest);
}

type Waves = { current: ReadonlySet<string>; next: ReadonlySet<string> };

function rolloutWaves(
  { state, placementRequest, now }: Inputs,
  eligible: readonly upstreams.Upstream[],
): Waves {
  const model = placementRequest.prompt?.model ?? '';
  const target = state.targetVersions.get(model);
  if (!target) return { current: new Set(), next: new Set() };
  const candidates = eligible.map((each) => ({
    id: each.registration.id,
    version: each.versions.get(model) ?? 0,
  }));
  const moment = { now, rolloutMs: state.bounds.rolloutMs };
  const { current, next } = wave.chooseWaves(model, target, candidates, moment);
  return { current: new Set(current), next: new Set(next) };
}

/** The last shared part of the prompt; requests without one have no affinity. */
function affinityKey({ prompt, requestId }: Request): string {
  return prompt?.parts.at(-2)?.id ?? requestId;
}

/** Returns small costs by upstream id, ordered by rendezvous hashing of the last shared prompt part. */
function affinityCostsMs(
  { placementRequest }: Inputs,
  available: readonly upstreams.Upstream[],
): ReadonlyMap<string, number> {
  const ranked = rendezvous.rank(
    affinityKey(placementRequest),
    available.map(({ registration }) => registration.id),
  );
  return new Map(ranked.map((id, at) => [id, at * AFFINITY_STEP_COST_MS]));
}

function expectedCostMs(
  inputs: Inputs,
  upstream: upstreams.Upstream,
  ahead: queue.Estimate,
  tokens: number,
  waves: Waves,
): number {
  const { state, now } = inputs;
  const { registration, firstByteLatencyMs = 0 } = upstream;
  const isElsewhere = registration.dataCentre !== state.dataCentre;
  return (
    ahead.costMs +
    tokens / prefillRate.tokensPerMs(state, inputs.service.name) +
    firstByteLatencyMs * (inputs.service.engine ? ENGINE_LATENCY_SHARE : LATENCY_SHARE) +
    upstreams.currentFaultScore(upstream, now.monotonicMs) * FAULT_COST_MS +
    (isElsewhere ? OTHER_DATA_CENTRE_COST_MS : 0) +
    placeCost.costMs(inputs, upstream) +
    (upstream.backoffUntilMs > now.monotonicMs ? BACKOFF_COST_MS : 0) +
    (rateLimit.isCold(upstream, now.monotonicMs) ? COLD_COST_MS : 0) +
    outdatedWeightsCostMs(inputs, upstream) +
    (waves.current.has(registration.id) ? CURRENT_WAVE_COST_MS : 0) +
    (waves.next.has(registration.id) ? NEXT_WAVE_COST_MS : 0)
  );
}

function outdatedWeightsCostMs(inputs: Inputs, upstream: upstreams.Upstream): number {
  const outdatedMs = eligibility.outdatedForMs(inputs, upstream) ?? 0;
  return outdatedMs > OUTDATED_WEIGHTS_GRACE_MS ? OUTDATED_WEIGHTS_COST_MS : 0;
}

/** Records the work at the upstream and returns the destination with its context plan. */
function reserve(inputs: Inputs, { upstream, ahead, tokens }: Candidate): messages.Destination {
  const { state, service, placementRequest, now } = inputs;
  const { id, address } = upstream.registration;
  rateLimit
    .limitsOf(upstream, service, state.bounds, now.monotonicMs)
    .forEach((limit) => rateLimit.spend(state, upstream, limit, now.monotonicMs));
  canarySteps.recordPlaced(inputs, upstream);
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
    softwareVersion: upstream.registration.softwareVersion,
    context: contextPlanFor(inputs, upstream),
    expected: {
      waitMs: Math.round(ahead.waitMs),
      tokensToRead: Math.round(tokens),
      weightVersion: upstream.versions.get(placementRequest.prompt?.model ?? '') ?? 0,
      replacedForMs: eligibility.outdatedForMs(inputs, upstream),
    },
    beginBy: beginBy(inputs, upstream),
  };
}

/** On the newest weights, a version that is named from now on leaves the whole bound. */
function beginBy(
  { state, placementRequest: { prompt }, now }: Inputs,
  upstream: upstreams.Upstream,
): task.Instant | undefined {
  if (!prompt) return undefined;
  const whole = task.later(now, state.bounds.rolloutMs);
  return eligibility.beginBy(state, upstream, prompt.model, now) ?? whole;
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
