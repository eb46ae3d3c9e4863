/** `speed`: predicted delays against measured ones, and the time to first token that follows. */
import * as registry from '../registry.js';
import * as decisionCost from './decision-cost.js';
import * as policies from './policies.js';
import * as scenarios from './scenarios.js';
import * as world from './world.js';

const SEEDS: readonly number[] = [20_261_206, 20_261_207, 20_261_208];
const LASTS_MS = 25_000;
const QUANTILES = [0.5, 0.9, 0.99] as const;

type Quantiles = { p50: number; p90: number; p99: number };

type Figures = {
  scenario: string;
  policy: policies.Policy;
  answered: number;
  refused: number;
  /** Distance between predicted and measured time to the first event. */
  errorMs: Quantiles;
  /** How much later than predicted the first event came; negative if earlier. */
  excessMs: Quantiles;
  firstEventMs: Quantiles;
  withinTarget: number;
};

function measure(scenario: scenarios.Scenario, policy: policies.Policy): Figures {
  const outcomes = SEEDS.map((seed) => world.play(scenario, policy, { seed, lastsMs: LASTS_MS }));
  const answers = outcomes.flatMap((each) => each.answers);
  const refused = outcomes.reduce((sum, each) => sum + each.refused, 0);
  const inTime = answers.filter(({ kind, firstEventMs }) => firstEventMs <= kind.latencyTargetMs);
  return {
    scenario: scenario.name,
    policy,
    answered: answers.length,
    refused,
    errorMs: quantiles(answers.map(({ errorMs }) => Math.abs(errorMs))),
    excessMs: quantiles(answers.map(({ errorMs }) => errorMs)),
    firstEventMs: quantiles(answers.map(({ firstEventMs }) => firstEventMs)),
    withinTarget: Math.round((inTime.length / (answers.length + refused)) * 1_000) / 1_000,
  };
}

function quantiles(values: readonly number[]): Quantiles {
  const sorted = [...values].sort((a, b) => a - b);
  const [p50 = 0, p90 = 0, p99 = 0] = QUANTILES.map((share) =>
    Math.round(sorted[Math.floor(share * (sorted.length - 1))] ?? 0),
  );
  return { p50, p90, p99 };
}

function run(): Promise<registry.Report> {
  const figures = scenarios.ALL.flatMap((scenario) =>
    policies.ALL.map((policy) => measure(scenario, policy)),
  );
  const decisions = decisionCost.measure();
  const lines = [HEADING, ...figures.map(line), ...decisions.map(decisionCost.line)];
  return Promise.resolve({ lines, data: { seeds: SEEDS, figures, decisions } });
}

const HEADING =
  'scenario                        policy          error p50/p90/p99  excess p50/p90/p99  first event p50/p90/p99  in time  refused';

function line(figures: Figures): string {
  const shown = ({ p50, p90, p99 }: Quantiles) => `${p50}/${p90}/${p99}`;
  return [
    figures.scenario.padEnd(31),
    figures.policy.padEnd(15),
    shown(figures.errorMs).padStart(18),
    shown(figures.excessMs).padStart(19),
    shown(figures.firstEventMs).padStart(24),
    String(figures.withinTarget).padStart(8),
    String(figures.refused).padStart(8),
  ].join(' ');
}

registry.register({ name: 'speed', summary: 'predicted delays, first token, decisions', run });
