/** What a long prompt costs the others at an upstream, in ms of their delay. */
import type * as queue from '../fleet/queue.js';
import type * as upstreams from '../fleet/upstream.js';
import type * as plans from './plan.js';
import type * as states from './state.js';

/** Mean share of the prefill for which a short prompt waits that arrives at any time during it. */
const MEAN_WAIT_SHARE = 0.5;

/** Time for which its prefill takes the steps of the engine. */
function prefillMs({ tokensPerMs }: queue.Estimate, tokens: number): number {
  return tokens / tokensPerMs;
}

/** Short prompts that arrive at the upstream per ms, by Little's law. */
export function shortPerMs(
  { levels, means }: states.Mix,
  { registration: { id } }: upstreams.Upstream,
): number {
  const { residenceMs } = means.short;
  return residenceMs ? (levels.get(id)?.short ?? 0) / residenceMs : 0;
}

/** A long prompt that is placed, and whether another one is in prefill there. */
export type Work = { tokens: number; isOccupied: boolean };

/**
 * The delay of the next tokens of the prompts that run there, and of the first tokens of the short ones
 * that are expected there during the prefill; 0 for a short prompt. Two long prompts in prefill at once
 * share the engine's chunks, which delays the first one too.
 */
export function interferenceMs(
  plan: plans.Plan,
  upstream: upstreams.Upstream,
  ahead: queue.Estimate,
  { tokens, isOccupied }: Work,
): number {
  if (plan.kind !== 'long') return 0;
  const ms = prefillMs(ahead, tokens);
  const { short = 0, long = 0 } = plan.mix.levels.get(upstream.registration.id) ?? {};
  const expectedShort = shortPerMs(plan.mix, upstream) * ms;
  const sharedMs = isOccupied ? prefillMs(ahead, plan.mix.means.long.unreadTokens ?? tokens) : 0;
  return (short + long) * ms + expectedShort * ms * MEAN_WAIT_SHARE + sharedMs;
}
