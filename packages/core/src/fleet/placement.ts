/** Chooses the upstream for a request: the candidate with the lowest expected time to first byte. */
import type * as applied from '../canary/applied.js';
import type * as side from '../canary/side.js';
import type * as request from '../gateway/request.js';
import type * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import * as rendezvous from '../membership/rendezvous.js';
import type * as messages from '../messages/gateway.js';
import * as promptMix from '../prompt-mix/index.js';
import * as wave from '../rollouts/wave.js';
import type * as waitLimit from '../shares/wait-limit.js';
import * as canarySteps from './canary-steps.js';
import * as eligibility from './eligibility.js';
import * as placeCost from './place-cost.js';
import * as queue from './queue.js';
import * as promptPrefill from './prompt-prefill.js';
import * as rateLimit from './rate-limit.js';
import * as reach from './reach.js';
import * as reservation from './reservation.js';
import * as refusals from './refusals.js';
import * as sampling from './sampling.js';
import type * as fleet from './state.js';
import * as upstreams from './upstream.js';
import * as waitClaims from './wait-claims.js';
import * as waitLimits from './wait-limits.js';

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
  /** Absent for a request that cannot wait at the instance. */
  waiting?: waitClaims.Waiting;
};

export type Decision =
  | {
      kind: 'placed';
      destination: messages.Destination;
      costMs: number;
      candidates: number;
      /** Absent where prompts of different sizes are not told apart. */
      mix?: promptMix.plan.Placed | undefined;
    }
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
/** Share of the smoothed latency that counts. At an engine, latency depends more on prompts than on the engine. */
const LATENCY_SHARE = 0.5;
const ENGINE_LATENCY_SHARE = 0.1;

/** An upstream that may take the request, with its estimates. */
export type Candidate = {
  upstream: upstreams.Upstream;
  ahead: queue.Estimate;
  /** Prompt tokens that the upstream still has to read; tokens fetched from a store count for a share. */
  tokens: number;
  /** Time that the upstream takes for them. */
  readMs: number;
  costMs: number;
  /** The part of it that is the delay of others by a long prompt. */
  interferenceMs: number;
  /** Whether a long prompt would wait for another one there. */
  isOccupied: boolean;
};

export type Inputs = {
  state: fleet.State;
  service: routes.Service;
  placementRequest: Request;
  now: task.Instant;
  /** What decides the limits of wait under predictive load control; absent without it. */
  claim?: waitLimit.Claim | undefined;
};

export function place(state: fleet.State, placementRequest: Request, now: task.Instant): Decision {
  const service = state.services.get(placementRequest.service);
  if (!service) return refusals.none('unknown-service');
  if (reach.isCutOff(state)) return refusals.none('cut-off');
  const claim = waitClaims.claimOf(state, placementRequest, now);
  const inputs: Inputs = { state, service, placementRequest, now, claim };
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
  const { now } = inputs;
  const { available, eligible, exclusions } = eligibility.judgeAll(inputs, division, assignment);
  if (available.length === 0) {
    return eligibility.areAllSilent(inputs)
      ? refusals.allSilent(exclusions)
      : refusals.noneAvailable(exclusions, now);
  }
  const waves = rolloutWaves(inputs, eligible);
  const isInWave = (id: string) => waves.current.has(id) || waves.next.has(id);
  const sound = sampling.sound(inputs, available, isInWave);
  const plan = promptMix.plan.create(inputs, sound);
  const compared = sampling.select(inputs, plan, available, sound);
  const { ranked, leastReadMs } = rankUntilFree(inputs, compared, waves, plan);
  if (ranked.length === 0) return refusals.none('none-usable');
  const best = ranked.find((each) => !waitLimits.exceeds(inputs, each, leastReadMs));
  if (!best) return waitLimits.full(inputs, ranked);
  return {
    kind: 'placed',
    destination: reservation.reserve(inputs, best, plan),
    costMs: Math.round(best.costMs),
    candidates: compared[0]?.length ?? 0,
    mix: promptMix.plan.describe(plan, best.interferenceMs),
  };
}

type Ranked = {
  ranked: readonly Candidate[];
  /** Least time that one of the first upstreams takes for the prompt. */
  leastReadMs: number;
};

/** Ranks the first upstreams; all of the next set too if none of them is free. */
function rankUntilFree(
  inputs: Inputs,
  compared: readonly (readonly upstreams.Upstream[])[],
  waves: Waves,
  plan: promptMix.plan.Plan,
): Ranked {
  const [first = [], ...wider] = compared;
  const among = rankCandidates(inputs, first, waves, plan);
  const leastReadMs = Math.min(...among.map(({ readMs }) => readMs));
  const isFull = (each: Candidate) => waitLimits.exceeds(inputs, each);
  if (among.some((each) => !isFull(each) && !each.isOccupied)) {
    return { ranked: among, leastReadMs };
  }
  const ranked = wider
    .filter((each) => each.length > first.length)
    .reduce(
      (sofar, each, at) =>
        at > 0 && sofar.some((known) => !isFull(known))
          ? sofar
          : rankCandidates(inputs, each, waves, plan),
      among,
    );
  return { ranked, leastReadMs };
}

/** The upstreams on which the request may still begin in time, the cheapest first. */
function rankCandidates(
  inputs: Inputs,
  compared: readonly upstreams.Upstream[],
  waves: Waves,
  plan: promptMix.plan.Plan,
): readonly Candidate[] {
  const affinityCosts = affinityCostsMs(inputs, compared);
  const estimateTokens = promptPrefill.prefillEstimator(inputs);
  return compared
    .map((each): Candidate => {
      const ahead = queue.estimate(inputs, each);
      const tokens = promptMix.plan.expectedTokens(plan, each, estimateTokens(each));
      const affinityMs = affinityCosts.get(each.registration.id) ?? 0;
      const isOccupied = promptMix.plan.isOccupied(plan, ahead);
      const work = { tokens, isOccupied };
      const interferenceMs = promptMix.cost.interferenceMs(plan, each, ahead, work);
      const ownMs = expectedCostMs(inputs, each, ahead, tokens, waves);
      return {
        upstream: each,
        ahead,
        tokens,
        readMs: waitLimits.readMsOf(inputs, each, tokens / ahead.tokensPerMs),
        costMs: ownMs + affinityMs + interferenceMs,
        interferenceMs,
        isOccupied,
      };
    })
    .filter(({ upstream, ahead, readMs }) =>
      eligibility.mayStillBegin(inputs, upstream, ahead.waitMs + readMs),
    )
    .sort((a, b) => a.costMs - b.costMs);
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

/** Returns small costs by upstream id, ordered by rendezvous hashing of the last shared prompt part. */
function affinityCostsMs(
  { placementRequest }: Inputs,
  available: readonly upstreams.Upstream[],
): ReadonlyMap<string, number> {
  const ranked = rendezvous.rank(
    sampling.affinityKey(placementRequest),
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
  const { registration } = upstream;
  const isElsewhere = registration.dataCentre !== state.dataCentre;
  return (
    ahead.costMs +
    tokens / ahead.tokensPerMs +
    latencyCostMs(inputs, upstream, ahead) +
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

/** A predicted estimate contains the speed of the upstream. */
function latencyCostMs(
  { service }: Inputs,
  { firstByteLatencyMs = 0 }: upstreams.Upstream,
  { isPredicted }: queue.Estimate,
): number {
  if (isPredicted) return 0;
  return firstByteLatencyMs * (service.engine ? ENGINE_LATENCY_SHARE : LATENCY_SHARE);
}

function outdatedWeightsCostMs(inputs: Inputs, upstream: upstreams.Upstream): number {
  const outdatedMs = eligibility.outdatedForMs(inputs, upstream) ?? 0;
  return outdatedMs > OUTDATED_WEIGHTS_GRACE_MS ? OUTDATED_WEIGHTS_COST_MS : 0;
}
