/** Up to which predicted wait a request is sent to an upstream. */
import * as waitLimit from '../shares/wait-limit.js';
import * as speed from '../speed/index.js';
import * as accountUsage from './account-usage.js';
import type * as placement from './placement.js';
import * as refusals from './refusals.js';
import type * as upstreams from './upstream.js';

type Inputs = placement.Inputs;
type Candidate = placement.Candidate;

function maxWaitMs({ placementRequest, claim }: Inputs, candidate: Candidate): number {
  return claim ? waitLimit.maxWaitMs(claim, candidate.readMs) : waitLimit.usualMs(placementRequest);
}

/** Time that the upstream takes for the request itself, until its first part; `readMs` for its prompt. */
export function readMs(inputs: Inputs, upstream: upstreams.Upstream, promptMs: number): number {
  const isPlain = inputs.claim && !inputs.service.engine;
  return isPlain ? speed.plainServedMs(inputs, upstream) : promptMs;
}

/**
 * Whether the first part of the answer would come too late to be of full use. Accepting such work
 * would delay all later requests too, so it is refused while the caller can still go elsewhere.
 */
export function exceeds(inputs: Inputs, candidate: Candidate): boolean {
  const { mayRefuse } = inputs.placementRequest;
  return mayRefuse && candidate.ahead.waitMs > maxWaitMs(inputs, candidate);
}

/** The refusal of a request that exceeds the limit at all upstreams. */
export function full(inputs: Inputs, ranked: readonly Candidate[]): refusals.Refusal {
  return { ...refusals.none('full', freeInMs(inputs, ranked)), load: loadOf(inputs, ranked) };
}

/** Time until an upstream has little enough work ahead. */
function freeInMs(inputs: Inputs, ranked: readonly Candidate[]): number {
  const excessMs = ranked.map((each) => each.ahead.waitMs - maxWaitMs(inputs, each));
  return Math.max(0, Math.ceil(Math.min(...excessMs)));
}

/** What the upstream with the earliest first token would have meant for the request. */
function loadOf(inputs: Inputs, ranked: readonly Candidate[]): refusals.Load | undefined {
  const [first, ...others] = ranked;
  if (!inputs.claim || !first) return undefined;
  const endsAtMs = (each: Candidate) => each.ahead.waitMs + each.readMs;
  const best = others.reduce(
    (least, each) => (endsAtMs(each) < endsAtMs(least) ? each : least),
    first,
  );
  return {
    waitMs: best.ahead.waitMs,
    maxWaitMs: maxWaitMs(inputs, best),
    readMs: best.readMs,
    work: accountUsage.workOf(inputs.service, best.upstream, best.tokens),
  };
}
