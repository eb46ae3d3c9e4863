/**
 * Measures cold starts under load, for each policy with the same seeds: replicas that restart, and
 * one that turns cold under load and shows it only in its next reports.
 */
import type * as choices from '../models/choice.js';
import * as comparison from '../models/comparison.js';
import * as worlds from '../models/world.js';
import type * as registry from '../registry.js';
import * as examples from '../models/examples.js';

export type Figures = {
  cut: number;
  resumed: number;
  refused: number;
  newWorkStoppedMs: null;
  ttftP95Ms: { before: number | null; during: number | null; after: number | null };
  coldPeak: number;
  coldBears: number;
  /** Requests above the cold capacity of a restarted replica. */
  coldOverload: number;
  /** The same for the replica that turned cold without warning, until the first evidence arrives. */
  unannouncedOverload: number;
  platformCalls: number;
  rolloutRatio: null;
};

const SEED = 20_261_204;
/** All instances start at 0 and have received a report of every replica by this time. */
const SETTLED_AT_MS = 2_000;
const RESTART_AT_MS = 10_000;
const UNANNOUNCED_AT_MS = 30_000;
const COLD_MS = 12_000;
const END_MS = 60_000;
const DRAIN_MS = 10_000;
const RESTARTED = 2;

export function run(): registry.Report {
  const data = comparison.measureAll(measure);
  return { lines: describe(data), data: { seed: SEED, ...data } };
}

export function measure(example: examples.Example, policy: choices.Policy): Figures {
  const world = worlds.create(examples.toOptions(example, policy, SEED));
  const { timeline, tally, platform } = world;
  const unannounced = RESTARTED;
  world.arrive(0, END_MS, example.requestsPerS);
  timeline.at(RESTART_AT_MS, () =>
    Array.from({ length: RESTARTED }, (_, at) => world.restart(at, COLD_MS)),
  );
  timeline.at(UNANNOUNCED_AT_MS, () => world.turnCold(unannounced, COLD_MS));
  timeline.runUntil(END_MS + DRAIN_MS);
  const stats = world.engines.map((engine) => engine.stats());
  const restarted = stats.slice(0, RESTARTED);
  const { cut, refused, resumed } = tally.counts();
  const calls = platform.stats();
  return {
    cut,
    resumed,
    refused,
    newWorkStoppedMs: null,
    ttftP95Ms: {
      before: tally.firstTokenP95Ms(SETTLED_AT_MS, RESTART_AT_MS),
      during: tally.firstTokenP95Ms(RESTART_AT_MS, UNANNOUNCED_AT_MS + COLD_MS),
      after: tally.firstTokenP95Ms(UNANNOUNCED_AT_MS + COLD_MS, END_MS),
    },
    coldPeak: Math.max(...restarted.map(({ coldPeak }) => coldPeak)),
    coldBears: example.coldSlots,
    coldOverload: restarted.reduce((sum, { coldOverloads }) => sum + coldOverloads, 0),
    unannouncedOverload: stats[unannounced]?.coldOverloads ?? 0,
    platformCalls: calls.reads + calls.writes,
    rolloutRatio: null,
  };
}

function describe(data: Record<string, Record<string, Figures>>): readonly string[] {
  return Object.entries(data).flatMap(([example, policies]) => [
    example,
    ...Object.entries(policies).map(
      ([policy, { coldPeak, coldBears, coldOverload, unannouncedOverload, refused, ttftP95Ms }]) =>
        `  ${policy.padEnd(13)} cold peak ${coldPeak} of ${coldBears}, above it ${coldOverload}, ` +
        `unannounced ${unannouncedOverload}, refused ${refused}, ` +
        `p95 to first token ${ttftP95Ms.before} / ${ttftP95Ms.during} / ${ttftP95Ms.after} ms`,
    ),
  ]);
}
