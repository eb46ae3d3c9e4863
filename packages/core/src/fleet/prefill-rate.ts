/**
 * How fast the engines of a service read prompts under the present load, learned from the time to the
 * first event of own requests. Requests that run at the same time slow reading down.
 */
import type * as task from '../kernel/task.js';
import type * as fleet from './state.js';
import type * as upstreams from './upstream.js';

/** What an engine of the kind in use reads alone: tokens for each millisecond. Source: the users' sheet. */
const PRIOR_TOKENS_PER_MS = 68;
/** With less work ahead the way to the engine and its first step weigh more than reading. */
const MIN_SAMPLE_TOKENS = 6_000;
/** Weight of the newest measurement: some ten of them make up the estimate. */
const SMOOTHING_WEIGHT = 0.1;
/** One measurement counts at most for this factor, up or down. */
const MAX_SAMPLE_FACTOR = 4;

export function tokensPerMs({ prefillRates }: fleet.State, service: string): number {
  return prefillRates.get(service) ?? PRIOR_TOKENS_PER_MS;
}

/** Takes in the time to the first event of a request. */
export function recordSample(
  state: fleet.State,
  service: string,
  { startedAtMs, tokensUntilFirstEvent }: upstreams.InFlightRequest,
  now: task.Instant,
): void {
  const tookMs = now.monotonicMs - startedAtMs;
  if (tokensUntilFirstEvent < MIN_SAMPLE_TOKENS || tookMs <= 0) return;
  const known = tokensPerMs(state, service);
  const found = Math.min(
    known * MAX_SAMPLE_FACTOR,
    Math.max(known / MAX_SAMPLE_FACTOR, tokensUntilFirstEvent / tookMs),
  );
  const learned = known + (found - known) * SMOOTHING_WEIGHT;
  state.prefillRates.set(service, Math.min(PRIOR_TOKENS_PER_MS * MAX_SAMPLE_FACTOR, learned));
}
