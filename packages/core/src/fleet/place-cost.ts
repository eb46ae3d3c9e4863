/**
 * What a place costs at an upstream that names a limit. A place there takes as much work off the other
 * upstreams as the prompt is large, so the few places go to the largest prompts first.
 */
import type * as placement from './placement.js';
import * as promptPrefill from './prompt-prefill.js';
import type * as upstreams from './upstream.js';

/** For a prompt of the mean size; smaller ones go elsewhere while they wait less than this longer there. */
const MEAN_PROMPT_COST_MS = 150;
const MAX_COST_MS = 450;
/** Weight of the newest prompt in the smoothed size. */
const SMOOTHING_WEIGHT = 0.02;

export function costMs(
  { state, service, placementRequest }: placement.Inputs,
  { namedLimit }: upstreams.Upstream,
): number {
  const tokens = promptPrefill.promptTokens(placementRequest);
  if (!namedLimit || tokens === 0) return 0;
  const mean = state.meanPromptTokens.get(service.name) ?? tokens;
  return Math.min(MAX_COST_MS, (MEAN_PROMPT_COST_MS * mean) / tokens);
}

/** Updates the mean size of the prompts of a service. */
export function recordPrompt({ state, service, placementRequest }: placement.Inputs): void {
  const tokens = promptPrefill.promptTokens(placementRequest);
  if (tokens === 0) return;
  const known = state.meanPromptTokens.get(service.name) ?? tokens;
  state.meanPromptTokens.set(service.name, known + (tokens - known) * SMOOTHING_WEIGHT);
}
