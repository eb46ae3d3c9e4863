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
import * as rates from './rates.js';
import type * as canary from './types.js';

export const FALSE_ALARM = 0.001;
export const MISS = 0.001;

/** Least increase of the share of failures that counts as bad; the page names 5 to 20 %. */
const FAILURE_INCREASE = 0.05;
/** Smallest rate that is assumed for the old version; no failure may have been seen yet. */
const MIN_FAILURE_RATE = 0.005;
/** Least increase of the share of slow responses, if a version is several times as slow; see `rates`. */
const SLOW_INCREASE = 0.25;
const MIN_SLOW_RATE = 0.05;
/** The first requests at upstreams without kept context are slow; so many in a row are not a verdict. */
const MIN_SLOW_RESPONSES = 20;
/** Half-life of the old version's counts. */
const HALF_LIFE_MS = 10_000;
/** The same for the counts that show whether a fault of both versions has begun. */
const SHORT_HALF_LIFE_MS = 2_000;
/** Old responses below which there is nothing to compare with. */
const MIN_PREVIOUS_RESPONSES = 30;
/** The same within the short half-life: without an old version beside it, the new one is not judged. */
const MIN_RESPONSES_BESIDE = 3;

/**
 * A test that starts anew while the version does well finds one that turns bad later: its sum does not
 * fall below this. It may start many times, so its bound is higher than that of the whole test.
 */
const RECENT_FLOOR = -3;
const RECENT_ALARM = 0.000_003;

/** A fault of both versions is no evidence; one that lasts for longer is how the old version is now. */
const MAX_FAULT_MS = 6_000;
/**
 * Most evidence of one interval. A fault of both versions shows in their responses of the same time, but
 * not in the same proportion at its very beginning and end.
 */
const MAX_INTERVAL_EVIDENCE = 4;
/** Evidence in one kind of requests from which an undecided version leans to being bad: 100 to 1. */
const CELL_LEANING = Math.log(100);
const LIKELY_GOOD = Math.log(20);
/** Newest evidence from which a version is not given a larger share. */
const RISING = Math.log(10);
/** Responses of one kind of requests below which their evidence does not hold back a good version. */
const MIN_CELL_RESPONSES = 20;

/** Sums of log-likelihood ratios. */
type Sums = { whole: number; recent: number };

export type CellTest = {
  /** Decayed counts of the old version. */
  previous: canary.Counts;
  /** The same with the short half-life. */
  beside: canary.Counts;
  /** Responses of the new version within the short half-life. */
  nextBeside: number;
  /** For how long a fault of both versions has shown; kept for all requests together. */
  faultMs: number;
  responses: number;
  failures: Sums;
  slow: Sums;
};

/** The tests of each kind of requests, and of all together under the empty name. */
export type Tests = Readonly<Record<string, CellTest>>;

export type Finding =
  | { kind: 'good' }
  | { kind: 'bad'; cell: string; by: 'failures' | 'latency' }
  | { kind: 'undecided'; leaning: Leaning };

/**
 * `good`: 20 to 1. `rising`: the newest evidence of some kind of requests is against the version. `bad`:
 * all evidence is, or 100 to 1 for one kind of requests.
 */
export type Leaning = 'good' | 'none' | 'rising' | 'bad';

const ALL = '';
const NO_SUMS: Sums = { whole: 0, recent: 0 };
const NEW_TEST: CellTest = {
  previous: evidence.NO_COUNTS,
  beside: evidence.NO_COUNTS,
  nextBeside: 0,
  faultMs: 0,
  responses: 0,
  failures: NO_SUMS,
  slow: NO_SUMS,
};

/** Adds the responses of one interval. */
export function update(tests: Tests, cells: canary.Cells, elapsedMs: number): Tests {
  const names = [...new Set([...Object.keys(tests), ...Object.keys(cells)])].filter(
    (each) => each !== ALL,
  );
  const compared = names.map((name) => ({
    name,
    test: decayed(tests[name] ?? NEW_TEST, elapsedMs),
    cell: cells[name] ?? evidence.NO_RESPONSES,
  }));
  const before = tests[ALL] ?? NEW_TEST;
  const faultMs = isFaultOfBoth(compared) ? before.faultMs + elapsedMs : 0;
  const isLeftOut = (faultMs > 0 || before.faultMs > 0) && faultMs < MAX_FAULT_MS;
  const updated = compared.map(({ name, test, cell }) => ({
    name,
    ...(isLeftOut ? { test, increments: NO_INCREMENTS } : withCell(test, cell)),
  }));
  const all = updated.reduce(
    (sum, { increments }) => ({
      responses: sum.responses + increments.responses,
      failures: sum.failures + increments.failures,
      slow: sum.slow + increments.slow,
    }),
    NO_INCREMENTS,
  );
  return {
    ...Object.fromEntries(updated.map(({ name, test }) => [name, test])),
    [ALL]: { ...withIncrements(before, all), faultMs },
  };
}

function decayed(test: CellTest, elapsedMs: number): CellTest {
  const short = 0.5 ** (elapsedMs / SHORT_HALF_LIFE_MS);
  return {
    ...test,
    previous: evidence.decay(test.previous, 0.5 ** (elapsedMs / HALF_LIFE_MS)),
    beside: evidence.decay(test.beside, short),
    nextBeside: test.nextBeside * short,
  };
}

type Compared = { test: CellTest; cell: canary.Cell };

/** Whether the old version's responses of the interval are much worse than usual, over all kinds of requests. */
function isFaultOfBoth(compared: readonly Compared[]): boolean {
  const known = compared.filter(({ test }) => test.previous.responses >= MIN_PREVIOUS_RESPONSES);
  const sum = (of: (each: Compared) => rates.Frequency) =>
    known.map(of).reduce(rates.plus, { hits: 0, of: 0 });
  const isFailing = rates.isFault(
    sum(({ test }) => rates.failuresOf(test.previous)),
    sum(({ cell }) => rates.failuresOf(cell.previous)),
  );
  const isSlow = rates.isFault(
    sum(({ test }) => rates.slowOf(test.previous, rates.slowBin(test.previous))),
    sum(({ test, cell }) => rates.slowOf(cell.previous, rates.slowBin(test.previous))),
  );
  return isFailing || isSlow;
}

type Increments = { responses: number; failures: number; slow: number };
const NO_INCREMENTS: Increments = { responses: 0, failures: 0, slow: 0 };

function withCell(test: CellTest, cell: canary.Cell): { test: CellTest; increments: Increments } {
  const compared: CellTest = {
    ...test,
    previous: evidence.addCounts(test.previous, cell.previous),
    beside: evidence.addCounts(test.beside, cell.previous),
    nextBeside: test.nextBeside + cell.next.responses,
  };
  const increments = incrementsOf(compared, cell);
  return { test: withIncrements(compared, increments), increments };
}

function incrementsOf(
  { previous, beside, nextBeside }: CellTest,
  { next, previous: latest }: canary.Cell,
): Increments {
  const isComparable =
    previous.responses >= MIN_PREVIOUS_RESPONSES && beside.responses >= MIN_RESPONSES_BESIDE;
  if (!isComparable) return NO_INCREMENTS;
  // The rates of two samples differ by chance as if each had this share of the new one's responses.
  const weight = previous.responses / (previous.responses + nextBeside);
  const evidenceOf = (
    frequencyOf: (counts: canary.Counts) => rates.Frequency,
    leastRate: number,
    increase: number,
  ) => {
    const rate = rates.nullRate(frequencyOf(previous), frequencyOf(beside), frequencyOf(latest));
    const ratio = rates.logRatio(frequencyOf(next), Math.max(leastRate, rate), increase);
    return Math.min(MAX_INTERVAL_EVIDENCE, ratio * weight);
  };
  const slowFrom = rates.slowBin(previous);
  return {
    responses: next.responses,
    failures: evidenceOf(rates.failuresOf, MIN_FAILURE_RATE, FAILURE_INCREASE),
    slow: evidenceOf((counts) => rates.slowOf(counts, slowFrom), MIN_SLOW_RATE, SLOW_INCREASE),
  };
}

function withIncrements(test: CellTest, added: Increments): CellTest {
  return {
    ...test,
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
  if (!all) return { kind: 'undecided', leaning: 'none' };
  const bound = Math.log(MISS);
  const isGood =
    Math.max(all.failures.whole, all.slow.whole) <= bound &&
    entries.every(([, test]) => isQuiet(test.failures, test) && isQuiet(test.slow, test));
  if (isGood) return { kind: 'good' };
  return { kind: 'undecided', leaning: leaningOf(all, entries) };
}

/** Whether the evidence of one kind of requests does not speak against the version either. */
function isQuiet({ whole, recent }: Sums, { responses }: CellTest): boolean {
  return recent <= RISING && (whole <= 0 || responses < MIN_CELL_RESPONSES);
}

function leaningOf(all: CellTest, entries: readonly [string, CellTest][]): Leaning {
  const isAnyAbove = (bound: (cell: string) => number, which: keyof Sums) =>
    entries.some(([cell, { failures, slow }]) =>
      [failures, slow].some((sums) => sums[which] > bound(cell)),
    );
  if (isAnyAbove((cell) => (cell === ALL ? 0 : CELL_LEANING), 'whole')) return 'bad';
  if (isAnyAbove(() => RISING, 'recent')) return 'rising';
  return Math.max(all.failures.whole, all.slow.whole) <= -LIKELY_GOOD ? 'good' : 'none';
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
