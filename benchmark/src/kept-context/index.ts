/** `npm run bench -- kept-context`: the system's policy against its baselines in simulated time. */
import * as registry from '../registry.js';
import * as baselines from './baselines.js';
import * as decisions from './decisions.js';
import * as figures from './figures.js';
import * as oracle from './oracle.js';
import * as routed from './routed.js';
import * as workload from './workload.js';
import * as worlds from './world.js';

export type Policy = baselines.Baseline | 'medlarweir';

const SEED = 20_261_204;
const POLICIES: readonly Policy[] = ['recompute', 'import-always', 'least-loaded', 'medlarweir'];
const EXAMPLES: readonly workload.Example[] = ['balizas', 'svjetlopis'];

type Comparison = Record<Policy, figures.Figures> & { oracle: { recomputedShare: number } };

registry.register({
  name: 'kept-context',
  summary: 'time to first token and recomputed share against baselines',
  run: async () => {
    const lines: string[] = [];
    const compare = (example: workload.Example, variant: worlds.Variant) => {
      const compared = comparisonOf(example, variant);
      lines.push(`${example}, ${variant}`, ...linesOf(compared));
      return compared;
    };
    const of = (variant: worlds.Variant) =>
      Object.fromEntries(EXAMPLES.map((example) => [example, compare(example, variant)]));
    const data = {
      ...of('healthy'),
      slowLinks: of('slow-links'),
      storeDead: of('store-dead'),
      decisionMicros: decisions.measure(),
    };
    lines.push(`decision micros ${JSON.stringify(data.decisionMicros)}`);
    return { lines, data };
  },
});

function comparisonOf(example: workload.Example, variant: worlds.Variant): Comparison {
  const { [example]: shape } = workload.SHAPES;
  const visits = workload.visitsOf(shape, SEED);
  const found = POLICIES.map((policy) => [policy, simulate(shape, visits, policy, variant)]);
  return {
    ...(Object.fromEntries(found) as Record<Policy, figures.Figures>),
    oracle: { recomputedShare: oracle.recomputedShare(shape, visits, variant) },
  };
}

/** Simulates all visits of one workload under one policy. */
export function simulate(
  shape: workload.Shape,
  visits: readonly workload.Visit[],
  policy: Policy,
  variant: worlds.Variant,
): figures.Figures {
  const system = policy === 'medlarweir' ? routed.create(shape) : undefined;
  const world = worlds.create(shape, variant, system?.listener);
  visits.forEach((visit) =>
    world.time.after(visit.atMs, () => {
      if (policy === 'medlarweir') system?.arrive(world, visit);
      else baselines.arrive(world, policy, visit);
    }),
  );
  world.time.runAll();
  return figures.figuresOf(world);
}

function linesOf(compared: Comparison): readonly string[] {
  const rows = POLICIES.map((policy) => {
    const { ttftP50Ms, ttftP95Ms, ttftP99Ms, recomputedShare, linkBytes, checkP95Ms } =
      compared[policy];
    const cells = [ttftP50Ms, ttftP95Ms, ttftP99Ms, recomputedShare, linkBytes / 1e9, checkP95Ms];
    return `  ${policy.padEnd(14)} ${cells.map((cell) => cell.toFixed(4).padStart(12)).join('')}`;
  });
  const head = ['p50 ms', 'p95 ms', 'p99 ms', 'recomputed', 'link GB', 'check p95'];
  return [
    `  ${''.padEnd(14)} ${head.map((each) => each.padStart(12)).join('')}`,
    ...rows,
    `  oracle         recomputed ${compared.oracle.recomputedShare.toFixed(4)}`,
  ];
}
