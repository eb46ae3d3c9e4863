/** Estimates how many tokens of a request's prompt an upstream still has to read. */
import type * as request from '../gateway/request.js';
import * as sharedContext from '../shared-context/index.js';
import type * as placement from './placement.js';
import type * as upstreams from './upstream.js';

/** Parts sent this recently are likely still in the upstream's prefix cache. */
const CACHED_PART_MS = 15_000;
/** Time to fetch a part from a store, as a share of the time to read it. */
const FETCH_COST_SHARE = 0.5;

type PartCost = { key: string; tokens: number };

/**
 * Returns a function that gives the tokens an upstream still has to read. Store contents are looked up
 * once for each salt.
 */
export function prefillEstimator(
  inputs: placement.Inputs,
): (upstream: upstreams.Upstream) => number {
  const { placementRequest, now } = inputs;
  const { prompt } = placementRequest;
  if (!prompt) return () => 0;
  const bySalt = new Map<string, readonly PartCost[]>();
  return (upstream) => {
    const salt = sharedContext.salt.format(saltOf(placementRequest, prompt, upstream));
    const costs = bySalt.get(salt) ?? partCosts(inputs, prompt, salt);
    bySalt.set(salt, costs);
    return costs
      .filter(
        ({ key }) =>
          now.monotonicMs - (upstream.recentlySentParts.get(key) ?? -Infinity) >= CACHED_PART_MS,
      )
      .reduce((sum, { tokens }) => sum + tokens, 0);
  };
}

function partCosts(
  { state, now }: placement.Inputs,
  { parts }: request.Prompt,
  salt: string,
): readonly PartCost[] {
  const planInputs = { inventory: state.inventory, stores: state.contextStores, now };
  return parts.map(({ id, tokens }) => {
    const isStored = sharedContext.plan.findStore(planInputs, salt, id) !== undefined;
    const key = sharedContext.inventory.partKey(salt, id);
    return { key, tokens: isStored ? tokens * FETCH_COST_SHARE : tokens };
  });
}

export function saltOf(
  { isolatedAccount }: placement.Request,
  prompt: request.Prompt,
  upstream: upstreams.Upstream,
) {
  const version = upstream.versions.get(prompt.model) ?? 0;
  return { model: prompt.model, version, isolatedAccount };
}

export function promptTokens({ prompt }: placement.Request): number {
  return prompt?.parts.reduce((sum, { tokens }) => sum + tokens, 0) ?? 0;
}
