/** The steps of a release: the share of the new version, and when the next step may be taken. */
import * as results from '../results/index.js';
import type * as sequential from './sequential.js';
import type * as canary from './types.js';

/**
 * Part of `exposureShare` that is assigned while the version is unproven: a binomial count at this part
 * stays below the whole share within the slack.
 */
const UNPROVEN_PART = 0.7;

type Step = {
  stage: canary.Stage;
  share: number;
  /** Share of the order's duration before which the next step is not taken. */
  untilShare: number;
};

/**
 * A version may turn bad only later or only under load, so evidence is gathered on each step. The last
 * step starts early enough that requests of 15 s at the old version end before the deadline of an order
 * of a minute.
 */
export const STEPS: readonly Step[] = [
  { stage: 'unproven', share: UNPROVEN_PART, untilShare: 0.3 },
  { stage: 'shifting', share: 0.25, untilShare: 0.4 },
  { stage: 'shifting', share: 0.5, untilShare: 0.5 },
  { stage: 'shifted', share: 1, untilShare: 1 },
  { stage: 'shifted', share: 1, untilShare: 1 },
];
export const SHIFTED_STEP = 3;
/**
 * From this step on, `completed` may have been written, and nothing is rolled back: the replaced upstreams
 * may be gone.
 */
export const COMPLETING_STEP = 4;

/**
 * Share of the duration after which an undecided version is judged by what leans: with few requests
 * the test may not reach a bound before the deadline.
 */
const TRUNCATION_SHARE = 0.5;
/** Least time between two steps after a late start, so that each step shows some responses. */
const MIN_STEP_MS = 2_000;

export type Verdict = 'proceed' | 'wait' | 'roll-back';

/** What the lease holder does with the release now. */
export function judge(
  step: number,
  finding: sequential.Finding,
  { ageMs, stepMs }: { ageMs: number; stepMs: number },
  durationMs: number,
): Verdict {
  const current = STEPS[step];
  switch (finding.kind) {
    case 'bad':
      return 'roll-back';
    case 'good':
    case 'undecided': {
      const mayProceed =
        current !== undefined &&
        step < SHIFTED_STEP &&
        ageMs >= current.untilShare * durationMs &&
        stepMs >= MIN_STEP_MS;
      if (!mayProceed) return 'wait';
      if (finding.kind === 'good' || step > 0) return 'proceed';
      if (ageMs < TRUNCATION_SHARE * durationMs) return 'wait';
      return finding.leansBad ? 'roll-back' : 'proceed';
    }
    default:
      return results.assertNever(finding);
  }
}

/** The share of requests that are assigned to the new version at a step. */
export function shareAt(step: number, { exposureShare }: canary.Bounds): number {
  const { stage, share } = STEPS[step] ?? { stage: 'unproven', share: 0 };
  return stage === 'unproven' ? exposureShare * share : share;
}

export function stageAt(step: number, isBad: boolean): canary.Stage {
  if (isBad && step < COMPLETING_STEP) return 'stopped';
  return STEPS[step]?.stage ?? 'unproven';
}
