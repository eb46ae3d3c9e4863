/** What the mix of a service's prompts means for one placement. */
import type * as placement from '../fleet/placement.js';
import * as promptPrefill from '../fleet/prompt-prefill.js';
import type * as queue from '../fleet/queue.js';
import type * as upstreams from '../fleet/upstream.js';
import * as loadControl from '../load-control/index.js';
import * as learning from './learning.js';
import * as preference from './preference.js';
import * as sizes from './sizes.js';
import type * as states from './state.js';

export type Plan =
  /** The prompts of the service are all alike, or its load is not controlled by prediction. */
  { kind: 'alike' } | Mixed;

export type Mixed = {
  kind: states.Kind;
  mix: states.Mix;
  preferred: preference.Preference;
  /** Tokens of its last part, which no other prompt shares. */
  ownTokens: number;
  /** Prompts with the same shared part that all instances send per ms. */
  partPerMs: number;
};

/** `usable`: upstreams that may get the request and have no recent faults. */
export function create(inputs: placement.Inputs, usable: readonly upstreams.Upstream[]): Plan {
  const { state, service, placementRequest, now } = inputs;
  const promptTokens = promptPrefill.promptTokens(placementRequest);
  const isMixed = service.engine !== undefined && promptTokens > 0;
  if (!isMixed || !loadControl.isPredictive(state, service.name)) return { kind: 'alike' };
  const mix = learning.recordPrompt(inputs);
  const { boundary } = mix.sizes;
  if (!boundary) return { kind: 'alike' };
  const kind = sizes.kindOf(boundary, promptTokens);
  const part = learning.sharedPartOf(placementRequest);
  const ids = usable.map(({ registration }) => registration.id);
  const instances = state.members.length;
  const { monotonicMs } = now;
  return {
    kind,
    mix,
    preferred: preference.choose(mix, kind, part ?? placementRequest.requestId, ids),
    ownTokens: placementRequest.prompt?.parts.at(-1)?.tokens ?? 0,
    partPerMs: part === undefined ? 0 : learning.partPerMs(mix, part, instances, monotonicMs),
  };
}

/** Cached parts that were used within this time are most likely still cached. */
const CACHED_PART_MS = 15_000;

/**
 * Tokens that the upstream still has to prefill. Instances that hear sums of others' work do not hear
 * which parts others sent, so it follows from how often the shared part is sent to its preferred
 * upstreams: it is missing if none of them was sent within the time for which a part stays cached.
 */
export function expectedTokens(
  plan: Plan,
  { registration: { id } }: upstreams.Upstream,
  tokens: number,
): number {
  if (plan.kind === 'alike') return tokens;
  const { preferred, partPerMs, ownTokens } = plan;
  const shared = Math.max(0, tokens - ownTokens);
  const uses = preference.ratePerMs(preferred, id, partPerMs) * CACHED_PART_MS;
  return tokens - shared + shared * Math.exp(-uses);
}

/**
 * A long prompt counts as in prefill until a tenth of the mean is left. Half of the mean gave p95 of 1,513 and
 * 1,311 ms to the first token of long prompts instead of 1,147 and 1,072 (benchmark `prompt-mix`, trials).
 */
const OCCUPIED_SHARE = 0.1;

/** Whether a long prompt would wait for another one there, as far as this instance knows. */
export function isOccupied(plan: Plan, { unreadTokens }: queue.Estimate): boolean {
  if (plan.kind !== 'long') return false;
  const { unreadTokens: meanTokens } = plan.mix.means.long;
  return meanTokens !== undefined && unreadTokens >= meanTokens * OCCUPIED_SHARE;
}

/** What the journal tells of the mix at a placement. */
export type Placed = { size: states.Kind; interferenceMs: number; boundaryTokens: number };

export function describe(plan: Plan, interferenceMs: number): Placed | undefined {
  if (plan.kind === 'alike') return undefined;
  return {
    size: plan.kind,
    interferenceMs: Math.round(interferenceMs),
    boundaryTokens: Math.round(plan.mix.sizes.boundary?.tokens ?? 0),
  };
}
