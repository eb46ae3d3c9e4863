/** The two example deployments at their current sizes. */
import type * as choices from './choice.js';
import type * as worlds from './world.js';

export type Example = {
  name: 'balizas' | 'svjetlopis';
  dataCentres: readonly string[];
  instances: number;
  engines: number;
  coldSlots: number;
  requestsPerS: number;
};

const balizas: Example = {
  name: 'balizas',
  dataCentres: ['covilha', 'manteigas', 'seia', 'gouveia'],
  instances: 9,
  engines: 13,
  coldSlots: 2,
  requestsPerS: 50,
};
const svjetlopis: Example = {
  name: 'svjetlopis',
  dataCentres: ['split-a', 'split-b', 'split-c'],
  instances: 7,
  engines: 6,
  coldSlots: 2,
  requestsPerS: 18,
};
export const ALL: readonly Example[] = [balizas, svjetlopis];

/** One request takes 1 s of a slot, so each replica serves as many requests per second as it has slots. */
export function toOptions(example: Example, policy: choices.Policy, seed: number): worlds.Options {
  const { dataCentres, instances, engines, coldSlots } = example;
  return {
    seed,
    policy,
    dataCentres,
    instances,
    engines,
    engine: { slots: 8, coldSlots, firstTokenMs: 200, answerMs: 800 },
    entry: { longestImportMs: 50, longestDeliveryMs: 4, cancelledShare: 0 },
    platform: { longestDelayMs: 10, lostAnswers: 0 },
    reportEveryMs: 200,
    longestReportLagMs: 300,
  };
}
