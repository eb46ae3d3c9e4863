/** Which ends of attempts are evidence about a version, and of what. */
import type * as lifecycle from '../gateway/lifecycle-state.js';
import * as results from '../results/index.js';
import type * as canary from './types.js';

export type EndedAttempt = Omit<canary.Sample, 'isFailure' | 'latencyMs'> & {
  outcome: lifecycle.AttemptOutcome;
  elapsedMs: number;
  latencyTargetMs: number;
};

/**
 * Links, kills and corrupted responses are no evidence, since they tell nothing of the version: only an
 * answer with its status is, and an answer that did not come while the caller waited for its target.
 */
export function of({
  outcome,
  elapsedMs,
  latencyTargetMs,
  ...attempt
}: EndedAttempt): canary.Sample | undefined {
  const sample = { ...attempt, latencyMs: elapsedMs };
  switch (outcome) {
    case 'answered':
      return { ...sample, isFailure: false };
    case 'failed':
      return { ...sample, isFailure: true };
    case 'cancelled':
      return elapsedMs >= latencyTargetMs ? { ...sample, isFailure: false } : undefined;
    case 'rejected':
    case 'unreachable':
    case 'no-connection':
    case 'broken':
    case 'silent':
      return undefined;
    default:
      return results.assertNever(outcome);
  }
}
