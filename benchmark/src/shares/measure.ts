/** Measures shares, refusals and recovery for each policy, with the same seeds and in one run. */
import type * as registry from '../registry.js';
import type * as callers from './callers.js';
import * as cost from './cost.js';
import * as figures from './figures.js';
import * as policies from './policies.js';
import * as scenarios from './scenarios.js';
import * as worlds from './world.js';

const WINDOW_MS = 1_000;
const RECOVERED_SHARE = 0.9;

function measured({ calls }: worlds.Outcome): readonly callers.Call[] {
  return calls.filter(scenarios.isMeasured);
}

function overSeeds<Figures>(measure: (seed: number) => Figures): readonly Figures[] {
  return scenarios.SEEDS.map(measure);
}

function byGroup(calls: readonly callers.Call[]) {
  return {
    all: figures.served(calls),
    bySize: figures.groupBy(calls, ({ kind }) => kind.size),
    byRank: figures.groupBy(calls, ({ kind }) => `rank ${kind.rank}`),
    byAccount: figures.groupBy(calls, ({ account }) => account.name),
    largestTenth: figures.round(figures.largestTenth(calls)),
    refusalMs: figures.refusalMs(calls),
  };
}

export function equalClaims(seed: number, policy: policies.Policy) {
  const outcome = worlds.run(scenarios.equalClaims(seed), policy);
  const calls = measured(outcome);
  const jain = figures.round(figures.jain([...figures.workByAccount(calls).values()]));
  return { seed, jain, ...byGroup(calls), readAgain: outcome.readAgain };
}

/** What the burst of one account costs each of the others. */
export function burstOfOne(seed: number, policy: policies.Policy) {
  const { fromMs, seenUntilMs, account } = scenarios.BURST;
  const others = (hasBurst: boolean) =>
    worlds
      .run(scenarios.burstOfOne(seed, hasBurst), policy)
      .calls.filter(({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs < seenUntilMs)
      .filter((each) => each.account.name !== account);
  // The calls of the other accounts differ between both runs in their number, so shares are compared.
  const [without, withBurst] = [figures.served(others(false)), figures.served(others(true))];
  const shareOf = (part: number, { asked }: figures.Served) => part / Math.max(1, asked);
  const lost = (of: 'inTime' | 'answered') =>
    figures.round(
      1 - shareOf(withBurst[of], withBurst) / Math.max(1e-9, shareOf(without[of], without)),
    );
  return { seed, lostInTime: lost('inTime'), lostAnswered: lost('answered'), without, withBurst };
}

/** Share of the calls sent in each second that were served in time. */
function inTimeBySecond(calls: readonly callers.Call[], untilMs: number): readonly number[] {
  return Array.from({ length: Math.floor(untilMs / WINDOW_MS) }, (_, at) => {
    const sent = calls.filter(({ sentAtMs }) => Math.floor(sentAtMs / WINDOW_MS) === at);
    return figures.served(sent).inTime / Math.max(1, sent.length);
  });
}

/** Work of the answers that were complete in each second. */
function workBySecond(calls: readonly callers.Call[], untilMs: number): readonly number[] {
  return Array.from({ length: Math.floor(untilMs / WINDOW_MS) }, (_, at) => {
    const ended = calls.filter(
      ({ endedAtMs }) => endedAtMs !== undefined && Math.floor(endedAtMs / WINDOW_MS) === at,
    );
    return [...figures.workByAccount(ended).values()].reduce((sum, each) => sum + each, 0);
  });
}

/** How a series recovers after the burst, against its mean before the engines went. */
function recovery(perS: readonly number[]) {
  const { untilMs } = scenarios.LONG_BURST;
  const mean = (values: readonly number[]) =>
    values.reduce((sum, each) => sum + each, 0) / Math.max(1, values.length);
  const before = mean(perS.slice(4, 8));
  const after = perS.slice(Math.floor(untilMs / WINDOW_MS) + 1);
  const recovered = after.findIndex(
    (_, from) => mean(after.slice(from, from + 2)) >= RECOVERED_SHARE * before,
  );
  return {
    in3s: figures.round(mean(after.slice(2, 5)) / before),
    afterS: recovered < 0 ? null : recovered,
  };
}

export function longBurst(seed: number, policy: policies.Policy) {
  const { endMs } = scenarios.LONG_BURST;
  const outcome = worlds.run(scenarios.longBurst(seed), policy);
  const work = recovery(workBySecond(outcome.calls, endMs));
  const inTime = recovery(inTimeBySecond(outcome.calls, endMs));
  return {
    seed,
    workIn3s: work.in3s,
    workRecoveredAfterS: work.afterS,
    inTimeIn3s: inTime.in3s,
    inTimeRecoveredAfterS: inTime.afterS,
    readAgain: outcome.readAgain,
    ...byGroup(measured(outcome)),
  };
}

/** Answered calls of the account that returns at once, against the mean of the others. */
export function greedyReturns(seed: number, policy: policies.Policy) {
  const calls = measured(worlds.run(scenarios.greedyReturns(seed), policy));
  const work = [...figures.workByAccount(calls)];
  const greedy = work.filter(([name]) => name === 'account-0').map(([, each]) => each)[0] ?? 0;
  const patient = work.filter(([name]) => name !== 'account-0').map(([, each]) => each);
  const mean = patient.reduce((sum, each) => sum + each, 0) / Math.max(1, patient.length);
  return { seed, greedyToPatient: figures.round(greedy / Math.max(1, mean)), ...byGroup(calls) };
}

export function halfGone(seed: number, policy: policies.Policy) {
  const calls = measured(worlds.run(scenarios.halfGone(seed), policy));
  const jain = figures.round(figures.jain([...figures.workByAccount(calls).values()]));
  return { seed, jain, ...byGroup(calls) };
}

const MEASURES = { equalClaims, burstOfOne, longBurst, greedyReturns, halfGone };

export function run(): registry.Report {
  const scenariosOf = (policy: policies.Policy) =>
    Object.fromEntries(
      Object.entries(MEASURES).map(([name, measure]) => [
        name,
        overSeeds((seed) => measure(seed, policy)),
      ]),
    );
  const byPolicy = Object.fromEntries(policies.POLICIES.map((each) => [each, scenariosOf(each)]));
  const decisions = cost.measure();
  const data = { seeds: scenarios.SEEDS, byPolicy, decisions };
  const lines = policies.POLICIES.flatMap((policy) => [
    policy,
    ...Object.entries(byPolicy[policy] ?? {}).map(
      ([name, all]) => `  ${name.padEnd(14)} ${all.map(describe).join(' | ')}`,
    ),
  ]);
  return { lines: [...lines, ...cost.describe(decisions)], data };
}

function describe(given: object): string {
  return Object.entries(given)
    .filter(([, value]) => typeof value === 'number' || value === null)
    .filter(([name]) => name !== 'seed')
    .map(([name, value]) => `${name} ${value}`)
    .concat('all' in given ? [JSON.stringify(given.all)] : [])
    .concat('refusalMs' in given ? [JSON.stringify(given.refusalMs)] : [])
    .join(', ');
}
