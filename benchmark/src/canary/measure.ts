/**
 * Measures, for each policy with the same seeds, how many requests a bad version gets and how long it
 * takes to find it bad, and how often a good one is.
 */
import type * as registry from '../registry.js';
import * as policies from './policies.js';
import * as traffic from './traffic.js';

const INSTANCES: readonly number[] = [7, 80, 380];
const SEED = 20_261_206;
const RUNS = 20;
/** Runs that are not decided by then count as undecided. */
const END_MS = 120_000;

const FAULTS: Readonly<Record<string, traffic.Fault | undefined>> = {
  'fails 20 %': { kind: 'failing', share: 0.2, route: undefined },
  'fails 5 %': { kind: 'failing', share: 0.05, route: undefined },
  '3 times as slow': { kind: 'slow', factor: 3 },
  'fails 20 % on one route': { kind: 'failing', share: 0.2, route: 'cart' },
  good: undefined,
};

type Run = { verdict: policies.Verdict; ms: number; sentToNext: number; requests: number };
export type Figures = {
  instances: number;
  fault: string;
  policy: string;
  found: number;
  missed: number;
  undecided: number;
  /** Median and largest time to the decision. */
  decisionMs: { p50: number; max: number };
  /** Requests to the new version until then. */
  exposure: { p50: number; max: number };
  /** The same as a share of all requests. */
  exposureShare: number;
};

export function run(): registry.Report {
  const figures = INSTANCES.flatMap((instances) =>
    Object.entries(FAULTS).flatMap(([fault, given]) =>
      policies.POLICIES.map((policy) => measure(instances, fault, given, policy)),
    ),
  );
  return { lines: figures.map(describe), data: { seed: SEED, runs: RUNS, figures } };
}

export function measure(
  instances: number,
  fault: string,
  given: traffic.Fault | undefined,
  policy: policies.Policy,
): Figures {
  const runs = Array.from({ length: RUNS }, (_, at) =>
    playOne({ instances, fault: given, seed: SEED + at }, policy),
  );
  const count = (verdict: policies.Verdict) =>
    runs.filter((each) => each.verdict === verdict).length;
  const sorted = (of: (each: Run) => number) => runs.map(of).sort((a, b) => a - b);
  const spread = (values: readonly number[]) => ({
    p50: values[Math.floor(values.length / 2)] ?? 0,
    max: values.at(-1) ?? 0,
  });
  const sum = (of: (each: Run) => number) => runs.reduce((all, each) => all + of(each), 0);
  return {
    instances,
    fault,
    policy: policy.name,
    found: count('bad'),
    missed: count('good'),
    undecided: count('open'),
    decisionMs: spread(sorted(({ ms }) => ms)),
    exposure: spread(sorted(({ sentToNext }) => sentToNext)),
    exposureShare: sum(({ sentToNext }) => sentToNext) / sum(({ requests }) => requests),
  };
}

function playOne(scenario: traffic.Scenario, policy: policies.Policy): Run {
  const random = traffic.aRandom(scenario.seed);
  const judge = policy.start();
  const done: Run = { verdict: 'open', ms: 0, sentToNext: 0, requests: 0 };
  while (done.verdict === 'open' && done.ms < END_MS) {
    const interval = traffic.play(scenario, policy.share, random);
    done.ms += traffic.INTERVAL_MS;
    done.requests += interval.requests;
    done.sentToNext += interval.sentToNext;
    done.verdict = judge(interval, traffic.INTERVAL_MS);
  }
  return done;
}

function describe(each: Figures): string {
  const { instances, fault, policy, found, missed, undecided, decisionMs, exposure } = each;
  return [
    `${instances} instances, ${fault}, ${policy}:`,
    `found bad ${found}, good ${missed}, undecided ${undecided} of ${RUNS};`,
    `after ${decisionMs.p50} ms (at most ${decisionMs.max});`,
    `${exposure.p50} requests to it (at most ${exposure.max}),`,
    `${(each.exposureShare * 100).toFixed(1)} % of all`,
  ].join(' ');
}
