/** Up to which predicted wait a request is sent to an upstream. */
import * as waitLimit from '../shares/wait-limit.js';
import * as speed from '../speed/index.js';
import * as accountUsage from './account-usage.js';
import type * as placement from './placement.js';
import * as refusals from './refusals.js';
import type * as upstreams from './upstream.js';

/**
 * Under contention, a prompt part that another upstream has in its cache is read again only where the queue is
 * short: what is read again delays others, and displaces parts that are in use.
 */
const REPEATED_READING_FACTOR = 8;
/** Part of the limit up to which an upstream counts as nearly idle. */
const IDLE_SHARE = 0.2;

type Inputs = placement.Inputs;
type Candidate = placement.Candidate;

function maxWaitMs({ placementRequest, claim }: Inputs, candidate: Candidate): number {
  return claim ? waitLimit.maxWaitMs(claim, candidate.readMs) : waitLimit.usualMs(placementRequest);
}

/** Time that the upstream takes for the request itself, until its first part; `readMs` for its prompt. */
export function readMsOf(inputs: Inputs, upstream: upstreams.Upstream, promptMs: number): number {
  const isPlain = inputs.claim && !inputs.service.engine;
  return isPlain ? speed.plainServedMs(inputs, upstream) : promptMs;
}

/**
 * Whether the first part of the answer would come too late to be of full use. Accepting such work
 * would delay all later requests too, so it is refused while the caller can still go elsewhere.
 */
export function exceeds(
  inputs: Inputs,
  candidate: Candidate,
  leastReadMs = candidate.readMs,
): boolean {
  const { mayRefuse } = inputs.placementRequest;
  const { ahead, readMs } = candidate;
  const limit = maxWaitMs(inputs, candidate);
  const extraMs = inputs.claim && waitLimit.isContended(inputs.claim) ? readMs - leastReadMs : 0;
  const repeatedMs = Math.max(0, extraMs) * REPEATED_READING_FACTOR;
  // An upstream that is nearly idle is used all the same.
  const addedMs = Math.min(repeatedMs, Math.max(0, limit) * (1 - IDLE_SHARE));
  return mayRefuse && ahead.waitMs + addedMs > limit;
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
