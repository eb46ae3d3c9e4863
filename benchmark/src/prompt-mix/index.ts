/** `prompt-mix`: long prompts beside short ones, with the real placement, against baselines. */
import * as registry from '../registry.js';
import * as decisionTime from './decision-time.js';
import type * as figures from './figures.js';
import * as loads from './load.js';
import * as policies from './policies.js';
import * as world from './world.js';

const SEED = 20_261_206;
const LASTS_MS = 30_000;
/** Long prompts a second: none, fewer, the usual number, more. */
const LONG_PER_S: readonly number[] = [0, 44, 132, 176];
const USUAL_LONG_PER_S = 132;

type Variant = 'usual' | 'one-rank' | 'peers-silent' | 'engines-fail';
type Row = {
  site: string;
  variant: Variant;
  longPerS: number;
  policy: policies.Policy;
  figures: figures.Figures;
};

const VARIANTS: Readonly<Record<Variant, Partial<world.Play>>> = {
  usual: {},
  'one-rank': { isOneRank: true },
  'peers-silent': { isHeard: false },
  'engines-fail': { failures: 6 },
};

function play(site: loads.Site, variant: Variant, longPerS: number, policy: policies.Policy): Row {
  const given: world.Play = {
    site,
    policy,
    longPerS,
    seed: SEED,
    lastsMs: LASTS_MS,
    isHeard: true,
    isOneRank: false,
    failures: 0,
    ...VARIANTS[variant],
  };
  return { site: site.name, variant, longPerS, policy, figures: world.play(given) };
}

function run(): Promise<registry.Report> {
  const { hpc } = loads.SITES;
  const usual = Object.values(loads.SITES).flatMap((site) =>
    LONG_PER_S.flatMap((longPerS) =>
      policies.POLICIES.map((policy) => play(site, 'usual', longPerS, policy)),
    ),
  );
  const others = (['one-rank', 'peers-silent', 'engines-fail'] as const).flatMap((variant) =>
    (['prompt-mix', 'speed-alone', 'before'] as const).map((policy) =>
      play(hpc, variant, USUAL_LONG_PER_S, policy),
    ),
  );
  const rows = [...usual, ...others];
  const decisionMicros = decisionTime.measure();
  const lines = [
    HEADING,
    ...rows.map(line),
    ...decisionMicros.map(
      ({ upstreams, before, mixed }) =>
        `placement at ${upstreams} upstreams: ${before} µs before, ${mixed} µs now (median)`,
    ),
  ];
  return Promise.resolve({ lines, data: { rows, decisionMicros } });
}

const HEADING =
  'site     variant      long/s policy        short p50   p95  pause  in target refused | long p50   p95  pause  in target refused | tokens read';

function line({ site, variant, longPerS, policy, figures: { short, long, readTokens } }: Row) {
  const cells = (size: figures.SizeFigures) => [
    size.firstTokenP50Ms.toFixed(0).padStart(9),
    size.firstTokenP95Ms.toFixed(0).padStart(5),
    size.pauseP95Ms.toFixed(0).padStart(6),
    size.withinTarget.toFixed(3).padStart(10),
    String(size.refusals).padStart(7),
  ];
  return [
    site.padEnd(8),
    variant.padEnd(12),
    String(longPerS).padStart(6),
    policy.padEnd(12),
    ...cells(short),
    '|',
    ...cells(long),
    '|',
    String(readTokens),
  ].join(' ');
}

registry.register({ name: 'prompt-mix', summary: 'long prompts beside short ones', run });
