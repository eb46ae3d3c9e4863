/**
 * Measures both routes in interleaved rounds over real sockets, in separate processes. The order of
 * the routes changes with each round, so that other load on the machine affects both equally.
 */
import * as examples from '@medlarweir/examples';

import type * as registry from '../registry.js';
import * as routes from './routes.js';

const ROUNDS = 5;
const SEQUENTIAL_REQUESTS = 20;
const PARALLEL_REQUESTS = 64;
/** Equals the engine's slots, so that its queue stays empty. */
const CALLERS_AT_ONCE = 8;
const MAX_TOKENS = 8;
const PARALLEL_MAX_TOKENS = 32;
/** Prompt sizes of a short check and of a long briefing. */
const PROMPT_BYTES = { short: 400, long: 64_000 } as const;

type Size = keyof typeof PROMPT_BYTES;
type Sample = { direct: number; entry: number };
type Round = { firstTokenMs: Record<Size, Sample>; tokensPerS: Sample };

export async function run(): Promise<registry.Report> {
  const deployment = await examples.deployments.load('balizas');
  const cluster = await examples.clusters.start({
    ...deployment,
    engines: { ...deployment.engines, count: 1 },
    plain: { ...deployment.plain, count: 1 },
    stores: 0,
  });
  try {
    const { promptService, account } = deployment.story;
    const pair = {
      direct: routes.direct(cluster.addresses.engines[0] ?? ''),
      entry: routes.entry(cluster.instances[0]?.callers ?? '', promptService, account),
    };
    await measure(pair, 'warm-up');
    const rounds: Round[] = [];
    for (let at = 0; at < ROUNDS; at += 1) rounds.push(await measure(pair, `${at}`));
    return report(rounds);
  } finally {
    await cluster.stop();
  }
}

type Pair = Record<routes.RouteName, routes.Route>;

async function measure(pair: Pair, round: string): Promise<Round> {
  const isSwapped = Number(round) % 2 === 1;
  const both = async (act: (route: routes.Route) => Promise<number>): Promise<Sample> => {
    const first = await act(isSwapped ? pair.entry : pair.direct);
    const second = await act(isSwapped ? pair.direct : pair.entry);
    return isSwapped ? { direct: second, entry: first } : { direct: first, entry: second };
  };
  return {
    firstTokenMs: {
      short: await both((route) => medianFirstTokenMs(route, 'short', round)),
      long: await both((route) => medianFirstTokenMs(route, 'long', round)),
    },
    tokensPerS: await both((route) => tokensPerS(route, round)),
  };
}

/** Each prompt starts with a different prefix, so that none hits the prefix cache. */
function aPrompt(size: Size, id: string, maxTokens: number): routes.Prompt {
  const text = `${id} `.concat('note '.repeat(PROMPT_BYTES[size] / 5)).slice(0, PROMPT_BYTES[size]);
  return { id, text, maxTokens };
}

async function medianFirstTokenMs(route: routes.Route, size: Size, round: string): Promise<number> {
  const times: number[] = [];
  for (let at = 0; at < SEQUENTIAL_REQUESTS; at += 1) {
    const prompt = aPrompt(size, `${route.name}-${size}-${round}-${at}`, MAX_TOKENS);
    times.push((await routes.time(route, prompt)).firstTokenMs);
  }
  return median(times);
}

async function tokensPerS(route: routes.Route, round: string): Promise<number> {
  const ids = Array.from({ length: PARALLEL_REQUESTS }, (_, at) => `${route.name}-${round}-${at}`);
  const startedAtMs = performance.now();
  const work = async () => {
    for (let id = ids.shift(); id !== undefined; id = ids.shift()) {
      await routes.time(route, aPrompt('short', `many-${id}`, PARALLEL_MAX_TOKENS));
    }
  };
  await Promise.all(Array.from({ length: CALLERS_AT_ONCE }, work));
  const seconds = (performance.now() - startedAtMs) / 1_000;
  return (PARALLEL_REQUESTS * PARALLEL_MAX_TOKENS) / seconds;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  const [low = 0, high = 0] = [sorted[Math.ceil(sorted.length / 2) - 1], sorted[middle]];
  return (low + high) / 2;
}

/** Returns medians over the rounds; each ratio is computed within its round. */
function summarize(samples: readonly Sample[]) {
  const ratios = samples.map(({ direct, entry }) => entry / direct);
  return {
    direct: rounded(median(samples.map(({ direct }) => direct))),
    entry: rounded(median(samples.map(({ entry }) => entry))),
    added: rounded(median(samples.map(({ direct, entry }) => entry - direct))),
    ratio: rounded(median(ratios)),
    ratioLowest: rounded(Math.min(...ratios)),
    ratioHighest: rounded(Math.max(...ratios)),
  };
}

function rounded(value: number): number {
  return Number(value.toFixed(3));
}

function report(rounds: readonly Round[]): registry.Report {
  const data = {
    rounds: rounds.length,
    firstTokenMsShort: summarize(rounds.map(({ firstTokenMs }) => firstTokenMs.short)),
    firstTokenMsLong: summarize(rounds.map(({ firstTokenMs }) => firstTokenMs.long)),
    tokensPerS: summarize(rounds.map((each) => each.tokensPerS)),
  };
  const line = (what: string, found: ReturnType<typeof summarize>) =>
    `${what}: direct ${found.direct}, through an instance ${found.entry}, ratio ${found.ratio} ` +
    `(${found.ratioLowest} to ${found.ratioHighest} over ${data.rounds} rounds)`;
  return {
    lines: [
      line(`first token of ${PROMPT_BYTES.short} bytes, ms`, data.firstTokenMsShort),
      line(`first token of ${PROMPT_BYTES.long} bytes, ms`, data.firstTokenMsLong),
      line(`tokens a second at ${CALLERS_AT_ONCE} callers`, data.tokensPerS),
    ],
    data,
  };
}
