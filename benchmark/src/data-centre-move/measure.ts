/**
 * Takes one data centre out of service under load and returns it with cold replicas, for each policy
 * with the same seeds. The change reaches each instance within the longest allowed propagation time
 * of configuration.
 */
import type * as core from '@medlarweir/core';

import type * as choices from '../models/choice.js';
import * as examples from '../models/examples.js';
import * as comparison from '../models/comparison.js';
import * as worlds from '../models/world.js';
import type * as registry from '../registry.js';

export type Figures = {
  cut: number;
  refused: number;
  newWorkStoppedMs: number;
  ttftP95Ms: { before: number | null; during: number | null; after: number | null };
  coldOverload: number;
  rolloutRatio: null;
};

const SEED = 20_261_204;
const SETTLED_AT_MS = 2_000;
const OUT_AT_MS = 15_000;
const BACK_AT_MS = 35_000;
const COLD_MS = 8_000;
const AFTER_AT_MS = 50_000;
const END_MS = 65_000;
const DRAIN_MS = 10_000;
/** Longest time until a change is in effect at an instance in this model. */
const LONGEST_ADOPTION_MS = 2_000;

export function run(): registry.Report {
  const data = comparison.measureAll(measure);
  return { lines: describe(data), data: { seed: SEED, ...data } };
}

export function measure(example: examples.Example, policy: choices.Policy): Figures {
  const world = worlds.create(examples.toOptions(example, policy, SEED));
  const { timeline, tally, configuration } = world;
  const leaver = example.dataCentres[0] ?? '';
  const members = configuration.upstreams.flatMap(({ dataCentre }, at) =>
    dataCentre === leaver ? [at] : [],
  );
  world.arrive(0, END_MS, example.requestsPerS);
  timeline.at(OUT_AT_MS, () =>
    world.configure(withPresence(configuration, leaver, 'out', 2), LONGEST_ADOPTION_MS),
  );
  timeline.at(BACK_AT_MS, () => {
    members.forEach((at) => world.restart(at, COLD_MS));
    world.configure(withPresence(configuration, leaver, 'in', 3), LONGEST_ADOPTION_MS);
  });
  timeline.runUntil(BACK_AT_MS - 1);
  const lastArrivalMs = Math.max(
    OUT_AT_MS,
    ...members.map((at) => world.engines[at]?.stats().lastArrivalMs ?? 0),
  );
  timeline.runUntil(END_MS + DRAIN_MS);
  const { cut, refused } = tally.counts();
  return {
    cut,
    refused,
    newWorkStoppedMs: Math.round(lastArrivalMs - OUT_AT_MS),
    ttftP95Ms: {
      before: tally.firstTokenP95Ms(SETTLED_AT_MS, OUT_AT_MS),
      during: tally.firstTokenP95Ms(OUT_AT_MS, AFTER_AT_MS),
      after: tally.firstTokenP95Ms(AFTER_AT_MS, END_MS),
    },
    coldOverload: members.reduce(
      (sum, at) => sum + (world.engines[at]?.stats().coldOverloads ?? 0),
      0,
    ),
    rolloutRatio: null,
  };
}

function withPresence(
  configuration: core.configuration.Configuration,
  dataCentre: string,
  presence: core.configuration.Presence,
  generation: number,
): core.configuration.Configuration {
  const dataCentres = configuration.dataCentres.map((each) =>
    each.name === dataCentre ? { ...each, presence } : each,
  );
  return { ...configuration, generation, dataCentres };
}

function describe(data: Record<string, Record<string, Figures>>): readonly string[] {
  return Object.entries(data).flatMap(([example, policies]) => [
    example,
    ...Object.entries(policies).map(
      ([policy, { cut, refused, newWorkStoppedMs, ttftP95Ms, coldOverload }]) =>
        `  ${policy.padEnd(13)} cut ${cut}, refused ${refused}, no new work after ` +
        `${newWorkStoppedMs} ms, above the cold limit ${coldOverload}, ` +
        `p95 to first token ${ttftP95Ms.before} / ${ttftP95Ms.during} / ${ttftP95Ms.after} ms`,
    ),
  ]);
}
