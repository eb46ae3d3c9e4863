/** Collects the outcomes and waiting times that callers saw. */
import * as core from '@medlarweir/core';

import type * as entries from './entry.js';
import type * as timelines from './timeline.js';

export type Tally = {
  add(ending: entries.PromptOutcome): void;
  counts(): { ended: number; refused: number; resumed: number; cut: number };
  /** 95th percentile of time to first token, for tokens between two times; null without any. */
  firstTokenP95Ms(fromMs: number, toMs: number): number | null;
};

const P95 = 0.95;

export function create(timeline: timelines.Timeline): Tally {
  const waits: { atMs: number; waitedMs: number }[] = [];
  const counts = { ended: 0, refused: 0, resumed: 0, cut: 0 };
  return {
    add(ending) {
      switch (ending.kind) {
        case 'first-token':
          waits.push({ atMs: timeline.nowMs(), waitedMs: ending.waitedMs });
          return;
        case 'ended':
          counts.ended += 1;
          return;
        case 'refused':
          counts.refused += 1;
          return;
        case 'resumed':
          counts.resumed += 1;
          return;
        case 'cut':
          counts.cut += 1;
          return;
        default:
          core.results.assertNever(ending);
      }
    },
    counts: () => ({ ...counts }),
    firstTokenP95Ms(fromMs, toMs) {
      const found = waits
        .filter(({ atMs }) => atMs >= fromMs && atMs < toMs)
        .map(({ waitedMs }) => waitedMs)
        .sort((a, b) => a - b);
      const at = Math.ceil(found.length * P95) - 1;
      const value = found[at];
      return value === undefined ? null : Math.round(value * 10) / 10;
    },
  };
}
