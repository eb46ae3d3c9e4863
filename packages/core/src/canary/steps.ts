/** The steps of a release: the share of the new version, and when the next step may be taken. */
import * as results from '../results/index.js';
import type * as sequential from './sequential.js';
import type * as canary from './types.js';

/**
 * Part of `exposureShare` that is assigned while the version is unproven. Counts vary; where they come
 * near the whole share at an instance, its own count holds them back.
 */
const UNPROVEN_PART = 0.85;

type Step = {
  stage: canary.Stage;
  share: number;
  /** Share of the order's duration before which the next step is not taken. */
  untilShare: number;
};

/**
 * A version may turn bad only later or only under load, so evidence is gathered on each step beside the
 * old version. All is shifted early enough that requests of 15 s at the old version end before the
 * deadline of an order of a minute.
 */
export const STEPS: readonly Step[] = [
  { stage: 'unproven', share: UNPROVEN_PART, untilShare: 0.3 },
  { stage: 'shifting', share: 0.25, untilShare: 0.38 },
  { stage: 'shifting', share: 0.5, untilShare: 0.46 },
  { stage: 'shifting', share: 0.8, untilShare: 0.54 },
  { stage: 'shifted', share: 1, untilShare: 1 },
  { stage: 'shifted', share: 1, untilShare: 1 },
];
export const SHIFTED_STEP = 4;
/**
 * From this step on, `completed` may have been written, and nothing is rolled back: the replaced upstreams
 * may be gone.
 */
export const COMPLETING_STEP = 5;

/**
 * Shares of the duration after which an undecided version goes on if it is most likely good, and after
 * which it is judged by how the evidence leans: with few requests the test may not reach a bound before
 * the deadline.
 */
const LIKELY_SHARE = 0.5;
const TRUNCATION_SHARE = 0.62;
/** Share after which no step waits for the newest evidence any more. */
const LAST_WAIT_SHARE = 0.78;
/** Least time on one step, so that each shows some responses. */
const MIN_STEP_SHARE = 0.04;
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
        stepMs >= Math.max(MIN_STEP_MS, MIN_STEP_SHARE * durationMs);
      if (!mayProceed) return 'wait';
      if (finding.kind === 'good') return 'proceed';
      return judgeUndecided(step, finding.leaning, ageMs / durationMs);
    }
    default:
      return results.assertNever(finding);
  }
}

function judgeUndecided(step: number, leaning: sequential.Leaning, passedShare: number): Verdict {
  const lastShare = step === 0 ? TRUNCATION_SHARE : LAST_WAIT_SHARE;
  switch (leaning) {
    case 'good':
      return step > 0 || passedShare >= LIKELY_SHARE ? 'proceed' : 'wait';
    case 'none':
      return step > 0 || passedShare >= TRUNCATION_SHARE ? 'proceed' : 'wait';
    case 'rising':
      return passedShare >= lastShare ? 'proceed' : 'wait';
    case 'bad':
      return passedShare >= lastShare ? 'roll-back' : 'wait';
    default:
      return results.assertNever(leaning);
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
