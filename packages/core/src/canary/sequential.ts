/**
 * Wald's sequential probability ratio test of the new version against the old one that runs beside it.
 * Each interval adds its log-likelihood ratio, with the old version's rates of the same time as the
 * null hypothesis, so that faults of both versions are no evidence.
 *
 * Error rates: a version as good as the old one is found bad with a probability of at most
 * `FALSE_ALARM`, over all tests of its kinds of requests together; one that is worse by the alternative
 * is found good with at most `MISS`.
 */
import * as evidence from './evidence.js';
import type * as canary from './types.js';

export const FALSE_ALARM = 0.001;
export const MISS = 0.001;

/** Least increase of the share of failures that counts as bad; the page names 5 to 20 %. */
const FAILURE_INCREASE = 0.05;
/** Smallest rate that is assumed for the old version; no failure may have been seen yet. */
const MIN_FAILURE_RATE = 0.005;
/**
 * A response is slow above this quantile of the old version's latencies and half an octave more. Being
 * several times as slow makes more than a quarter more responses slow, even if latencies vary a lot.
 */
const SLOW_QUANTILE = 0.75;
const SLOW_INCREASE = 0.25;
const MIN_SLOW_RATE = 0.05;
/** The first requests at upstreams without kept context are slow; so many in a row are not a verdict. */
const MIN_SLOW_RESPONSES = 20;
/** Half-life of the old version's counts. */
const HALF_LIFE_MS = 10_000;
/** Old responses below which there is nothing to compare with. */
const MIN_PREVIOUS_RESPONSES = 30;

/**
 * A test that starts anew while the version does well finds one that turns bad later: its sum does not
 * fall below this. It may start many times, so its bound is higher than that of the whole test.
 */
const RECENT_FLOOR = -3;
const RECENT_ALARM = 0.000_003;

/** Sums of log-likelihood ratios. */
type Sums = { whole: number; recent: number };

export type CellTest = {
  /** Decayed counts of the old version. */
  previous: canary.Counts;
  responses: number;
  failures: Sums;
  slow: Sums;
};

/** The tests of each kind of requests, and of all together under the empty name. */
export type Tests = Readonly<Record<string, CellTest>>;

export type Finding =
  | { kind: 'good' }
  | { kind: 'bad'; cell: string; by: 'failures' | 'latency' }
  | { kind: 'undecided'; leansBad: boolean };

const ALL = '';
const NO_SUMS: Sums = { whole: 0, recent: 0 };
const NEW_TEST: CellTest = {
  previous: evidence.NO_COUNTS,
  responses: 0,
  failures: NO_SUMS,
  slow: NO_SUMS,
};

/** Adds the responses of one interval. */
export function update(tests: Tests, cells: canary.Cells, elapsedMs: number): Tests {
  const factor = 0.5 ** (elapsedMs / HALF_LIFE_MS);
  const names = new Set([...Object.keys(tests), ...Object.keys(cells)].filter((each) => each));
  const updated = [...names].map((name): [string, CellTest, Increments] => {
    const test = tests[name] ?? NEW_TEST;
    const cell = cells[name] ?? evidence.NO_RESPONSES;
    const previous = evidence.addCounts(evidence.decay(test.previous, factor), cell.previous);
    const increments = incrementsOf(previous, cell);
    return [name, withIncrements(test, previous, increments), increments];
  });
  const all = updated.reduce(
    (sum, [, , increments]) => ({
      responses: sum.responses + increments.responses,
      failures: sum.failures + increments.failures,
      slow: sum.slow + increments.slow,
    }),
    NO_INCREMENTS,
  );
  const together = withIncrements(tests[ALL] ?? NEW_TEST, evidence.NO_COUNTS, all);
  return {
    ...Object.fromEntries(updated.map(([name, test]) => [name, test])),
    [ALL]: together,
  };
}

type Increments = { responses: number; failures: number; slow: number };
const NO_INCREMENTS: Increments = { responses: 0, failures: 0, slow: 0 };

function incrementsOf(
  previous: canary.Counts,
  { next, previous: latest }: canary.Cell,
): Increments {
  if (previous.responses < MIN_PREVIOUS_RESPONSES) return NO_INCREMENTS;
  const failureRate = nullRate(previous.failures, previous.responses, {
    hits: latest.failures,
    of: latest.responses,
  });
  const answered = sumOf(previous.latencies);
  const slowFrom = slowBin(previous.latencies, answered);
  const slowRate = nullRate(countFrom(previous.latencies, slowFrom), answered, {
    hits: countFrom(latest.latencies, slowFrom),
    of: sumOf(latest.latencies),
  });
  const answeredByNext = sumOf(next.latencies);
  return {
    responses: next.responses,
    failures: logRatio(
      next.failures,
      next.responses,
      Math.max(MIN_FAILURE_RATE, failureRate),
      FAILURE_INCREASE,
    ),
    slow: logRatio(
      countFrom(next.latencies, slowFrom),
      answeredByNext,
      Math.max(MIN_SLOW_RATE, slowRate),
      SLOW_INCREASE,
    ),
  };
}

/** The old version's rate, raised by its standard error, or by what is certain of the last interval. */
function nullRate(hits: number, of: number, latest: { hits: number; of: number }): number {
  const usual = (hits + 0.5) / (of + 1);
  const raised = usual + Math.sqrt((usual * (1 - usual)) / (of + 1));
  const now = (latest.hits + 0.5) / (latest.of + 1);
  const certainNow = now - Math.sqrt((now * (1 - now)) / (latest.of + 1));
  return Math.min(0.9, Math.max(raised, certainNow));
}

function logRatio(hits: number, of: number, rate: number, increase: number): number {
  const alternative = Math.min(0.98, rate + increase);
  const perHit = Math.log(alternative / rate);
  const perMiss = Math.log((1 - alternative) / (1 - rate));
  return hits * perHit + (of - hits) * perMiss;
}

function slowBin(latencies: readonly number[], of: number): number {
  const found = latencies.reduce(
    ({ below, bin }, count, at) =>
      below >= of * SLOW_QUANTILE ? { below, bin } : { below: below + count, bin: at },
    { below: 0, bin: 0 },
  );
  return found.bin + 2;
}

function countFrom(latencies: readonly number[], bin: number): number {
  return sumOf(latencies.slice(bin));
}

function sumOf(values: readonly number[]): number {
  return values.reduce((sum, each) => sum + each, 0);
}

function withIncrements(test: CellTest, previous: canary.Counts, added: Increments): CellTest {
  return {
    previous,
    responses: test.responses + added.responses,
    failures: addTo(test.failures, added.failures),
    slow: addTo(test.slow, added.slow),
  };
}

function addTo({ whole, recent }: Sums, added: number): Sums {
  return { whole: whole + added, recent: Math.max(RECENT_FLOOR, recent + added) };
}

/** What the evidence shows so far. */
export function find(tests: Tests): Finding {
  const entries = Object.entries(tests);
  const bad = entries.flatMap(([cell, test]): Finding[] => {
    if (isAlarming(test.failures, entries.length)) return [{ kind: 'bad', cell, by: 'failures' }];
    const isSlow = test.responses >= MIN_SLOW_RESPONSES && isAlarming(test.slow, entries.length);
    return isSlow ? [{ kind: 'bad', cell, by: 'latency' }] : [];
  });
  if (bad[0]) return bad[0];
  const all = tests[ALL];
  if (!all) return { kind: 'undecided', leansBad: false };
  const bound = Math.log(MISS);
  const isGood =
    Math.max(all.failures.whole, all.slow.whole) <= bound &&
    entries.every(([, test]) => Math.max(test.failures.recent, test.slow.recent) <= 0);
  if (isGood) return { kind: 'good' };
  const leansBad = entries.some(([, { failures, slow }]) => failures.whole > 0 || slow.whole > 0);
  return { kind: 'undecided', leansBad };
}

/** Responses of the new version that were compared, and the evidence over all of them, for the journal. */
export function summary(tests: Tests): { responses: number; failures: number; slow: number } {
  const { responses, failures, slow } = tests[ALL] ?? NEW_TEST;
  return { responses, failures: failures.whole, slow: slow.whole };
}

function isAlarming({ whole, recent }: Sums, tests: number): boolean {
  // Two kinds of evidence for each kind of requests.
  const share = 2 * Math.max(1, tests);
  return whole >= Math.log(share / FALSE_ALARM) || recent >= Math.log(share / RECENT_ALARM);
}
