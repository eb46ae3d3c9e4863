/** Models the links between instances and to the platform: delay, loss and partition. */
import * as pureRand from 'pure-rand/generator/xoroshiro128plus';
import type * as pureRandTypes from 'pure-rand/types/RandomGenerator';

import type * as timelines from './timeline.js';

/** The name `platform` denotes the platform's service. */
export type Cut = (from: string, to: string) => boolean;

export type Links = {
  /** Delivers an encoded message between two data centres, unless it is lost. */
  send(from: string, to: string, text: string, deliver: (text: string) => void): void;
  isCut: Cut;
  cut(given: Cut): void;
};

const LOSS = 0.01;
const DELAY_MS = 1.5;
const MAX_JITTER_MS = 3;

export function create(timeline: timelines.Timeline, seed: number): Links {
  const random = pureRand.xoroshiro128plus(seed);
  const state = { isCut: (() => false) as Cut };
  return {
    send(from, to, text, deliver) {
      const delayMs = DELAY_MS + draw(random) * MAX_JITTER_MS;
      if (draw(random) < LOSS || state.isCut(from, to)) return;
      timeline.after(delayMs, () => deliver(text));
    },
    isCut: (from, to) => state.isCut(from, to),
    cut: (given) => {
      state.isCut = given;
    },
  };
}

/** Returns a random number from 0 to 1. */
function draw(random: pureRandTypes.RandomGenerator): number {
  return random.next() / 2 ** 32 + 0.5;
}
