/** Models the platform's object API: conditional updates, delays, lost answers, outages. */
import * as core from '@medlarweir/core';

import type * as randomness from './randomness.js';
import type * as timelines from './timeline.js';

export type Call = Extract<core.coldStarts.Command, { kind: 'read' | 'write' }>;
export type Answer = (ticket: string, answer: core.messages.PlatformAnswer) => void;

export type Platform = {
  call(call: Call, answer: Answer): void;
  setOutage(isOut: boolean): void;
  stats(): { reads: number; writes: number };
};

export type Options = {
  longestDelayMs: number;
  /** Share of responses that are lost after the call took effect. */
  lostAnswers: number;
};

export function create(
  timeline: timelines.Timeline,
  random: randomness.Randomness,
  options: Options,
): Platform {
  const objects = new Map<string, core.messages.StoredObject>();
  const state = { isOut: false, reads: 0, writes: 0 };

  function execute(call: Call): core.messages.PlatformAnswer {
    const current = objects.get(call.key);
    switch (call.kind) {
      case 'read':
        state.reads += 1;
        return current ? { kind: 'object', object: current } : { kind: 'missing' };
      case 'write': {
        state.writes += 1;
        if ((current?.version ?? 0) !== call.expectedVersion) return { kind: 'conflict', current };
        const version = call.expectedVersion + 1;
        const { key, value, writeId } = call;
        objects.set(key, { key, version, value, writeId });
        return { kind: 'written', version };
      }
      default:
        return core.results.assertNever(call);
    }
  }

  return {
    call(call, answer) {
      timeline.after(random.between(1, options.longestDelayMs), () => {
        if (state.isOut) return;
        const found = execute(call);
        if (random.share() < options.lostAnswers) return;
        timeline.after(random.between(1, options.longestDelayMs), () => answer(call.ticket, found));
      });
    },
    setOutage(isOut) {
      state.isOut = isOut;
    },
    stats: () => ({ reads: state.reads, writes: state.writes }),
  };
}
