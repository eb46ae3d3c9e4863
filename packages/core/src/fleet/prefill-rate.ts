/**
 * Estimates how fast the engines of a service read prompts under the current load, from the time to
 * first event of this instance's requests. Concurrent requests slow reading down.
 */
import type * as task from '../kernel/task.js';
import type * as fleet from './state.js';
import type * as upstreams from './upstream.js';

/** Tokens per millisecond that an otherwise idle engine of the kind in use reads. Source: the users' sheet. */
const PRIOR_TOKENS_PER_MS = 68;
/** With fewer tokens, the network and the engine's first step take longer than reading. */
const MIN_SAMPLE_TOKENS = 6_000;
/** Weight of the newest sample; about ten samples make up the estimate. */
const SMOOTHING_WEIGHT = 0.1;
/** Limits one sample to this factor above or below the estimate. */
const MAX_SAMPLE_FACTOR = 4;

export function tokensPerMs({ prefillRates }: fleet.State, service: string): number {
  return prefillRates.get(service) ?? PRIOR_TOKENS_PER_MS;
}

/** Updates the estimate with the time to first event of a request; ignores samples that are too small. */
export function recordSample(
  state: fleet.State,
  service: string,
  { startedAtMs, tokensUntilFirstEvent }: upstreams.InFlightRequest,
  now: task.Instant,
): void {
  const tookMs = now.monotonicMs - startedAtMs;
  if (tokensUntilFirstEvent < MIN_SAMPLE_TOKENS || tookMs <= 0) return;
  const known = tokensPerMs(state, service);
  const sample = Math.min(
    known * MAX_SAMPLE_FACTOR,
    Math.max(known / MAX_SAMPLE_FACTOR, tokensUntilFirstEvent / tookMs),
  );
  const smoothed = known + (sample - known) * SMOOTHING_WEIGHT;
  state.prefillRates.set(service, Math.min(PRIOR_TOKENS_PER_MS * MAX_SAMPLE_FACTOR, smoothed));
}
