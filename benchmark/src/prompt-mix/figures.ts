/** What callers of each size see: time to the first token, pauses between tokens, share within target. */
import type * as engines from './engine.js';
import * as loads from './load.js';

/** Caches and learned state fill in this time, which the figures leave out. */
export const WARM_UP_MS = 12_000;

export type SizeFigures = {
  requests: number;
  firstTokenP50Ms: number;
  firstTokenP95Ms: number;
  pauseP95Ms: number;
  withinTarget: number;
  refusals: number;
};
export type Figures = Record<engines.Kind, SizeFigures> & {
  /** Prompt tokens that all engines prefilled; those that were cached are not counted. */
  readTokens: number;
};

export type Tally = {
  arrived(arrival: loads.Arrival): void;
  token(arrival: loads.Arrival, atMs: number, isFirst: boolean): void;
  refused(kind: engines.Kind, arrivedAtMs: number): void;
  result(readTokens: readonly number[]): Figures;
};

type Samples = { requests: number; firstMs: number[]; pausesMs: number[]; refusals: number };

export function create(): Tally {
  const empty = (): Samples => ({ requests: 0, firstMs: [], pausesMs: [], refusals: 0 });
  const samples: Record<engines.Kind, Samples> = { short: empty(), long: empty() };
  const lastMs = new Map<string, number>();
  const isCounted = (atMs: number) => atMs >= WARM_UP_MS;
  return {
    arrived({ kind, atMs }) {
      if (isCounted(atMs)) samples[kind].requests += 1;
    },
    token(arrival, atMs, isFirst) {
      if (!isCounted(arrival.atMs)) return;
      const { firstMs, pausesMs } = samples[arrival.kind];
      const before = lastMs.get(arrival.id);
      if (isFirst) firstMs.push(atMs - arrival.atMs);
      else if (before !== undefined) pausesMs.push(atMs - before);
      lastMs.set(arrival.id, atMs);
    },
    refused(kind, arrivedAtMs) {
      if (isCounted(arrivedAtMs)) samples[kind].refusals += 1;
    },
    result: (readTokens) => ({
      short: figuresOf('short', samples.short),
      long: figuresOf('long', samples.long),
      readTokens: Math.round(readTokens.reduce((sum, each) => sum + each, 0)),
    }),
  };
}

function figuresOf(kind: engines.Kind, { requests, firstMs, pausesMs, refusals }: Samples) {
  const { targetMs } = loads.SIZES[kind];
  const within = firstMs.filter((ms) => ms <= targetMs).length;
  return {
    requests,
    firstTokenP50Ms: percentile(firstMs, 0.5),
    firstTokenP95Ms: percentile(firstMs, 0.95),
    pauseP95Ms: percentile(pausesMs, 0.95),
    withinTarget: requests === 0 ? 1 : Math.round((within / requests) * 1_000) / 1_000,
    refusals,
  };
}

function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  const at = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return Math.round((sorted[at] ?? 0) * 10) / 10;
}
