/** Ways of deciding about a new version, from the responses of each interval. */
import * as core from '@medlarweir/core';

import type * as traffic from './traffic.js';

export type Verdict = 'open' | 'bad' | 'good';

export type Policy = {
  name: string;
  share: number;
  /** A judge with a state of its own. */
  start(): (interval: traffic.Interval, elapsedMs: number) => Verdict;
};

const EXPOSURE = { exposureShare: 0.1, exposureSlack: 50, rollbackMs: 5_000 };
const FIXED_SHARE = 0.1;
/** A usual rule: judged each minute, bad if more than 5 % of the responses of the new version failed. */
const FIXED_THRESHOLD = 0.05;
const FIXED_WINDOW_MS = 60_000;
/** The same without a window, with the least number of responses. */
const EAGER_MIN_RESPONSES = 20;

function sequential(): Policy {
  return {
    name: 'sequential test',
    share: core.canary.steps.shareAt(0, EXPOSURE),
    start: () => {
      let tests: core.canary.sequential.Tests = {};
      return ({ cells }, elapsedMs) => {
        tests = core.canary.sequential.update(tests, cells, elapsedMs);
        const { kind } = core.canary.sequential.find(tests);
        return kind === 'undecided' ? 'open' : kind;
      };
    },
  };
}

function fixedWindow(): Policy {
  return {
    name: 'fixed threshold, each minute',
    share: FIXED_SHARE,
    start: () => {
      const seen = { ms: 0, responses: 0, failures: 0 };
      return ({ sentToNext, failuresOfNext }, elapsedMs) => {
        seen.ms += elapsedMs;
        seen.responses += sentToNext;
        seen.failures += failuresOfNext;
        if (seen.ms < FIXED_WINDOW_MS) return 'open';
        return seen.failures > FIXED_THRESHOLD * seen.responses ? 'bad' : 'good';
      };
    },
  };
}

function fixedEager(): Policy {
  return {
    name: 'fixed threshold, at once',
    share: FIXED_SHARE,
    start: () => {
      const seen = { ms: 0, responses: 0, failures: 0 };
      return ({ sentToNext, failuresOfNext }, elapsedMs) => {
        seen.ms += elapsedMs;
        seen.responses += sentToNext;
        seen.failures += failuresOfNext;
        if (seen.responses < EAGER_MIN_RESPONSES) return 'open';
        if (seen.failures > FIXED_THRESHOLD * seen.responses) return 'bad';
        return seen.ms < FIXED_WINDOW_MS ? 'open' : 'good';
      };
    },
  };
}

export const POLICIES: readonly Policy[] = [sequential(), fixedWindow(), fixedEager()];
