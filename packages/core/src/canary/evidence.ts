/** Counts the responses of both versions to like requests. Bounded in cells and in bins. */
import type * as canary from './types.js';

/** Kinds of like requests that are told apart; the rest is counted as one. */
export const MAX_CELLS = 8;
const OTHER_CELL = 'other';
/** Two bins for each doubling; the last one starts at 32 s. */
const BINS_PER_OCTAVE = 2;
export const BINS = 31;
/** Prompts in one class differ by a factor of four at most. */
const PROMPT_CLASS_FACTOR = 4;
const SMALLEST_PROMPT_TOKENS = 256;

export const NO_COUNTS: canary.Counts = { responses: 0, failures: 0, latencies: [] };
export const NO_RESPONSES: canary.Cell = { next: NO_COUNTS, previous: NO_COUNTS };

export function binOf(latencyMs: number): number {
  const bin = Math.floor(Math.log2(Math.max(1, latencyMs)) * BINS_PER_OCTAVE);
  return Math.min(BINS - 1, bin);
}

/** Name of the cell of like requests. */
export function cellName({
  route,
  promptTokens,
}: Pick<canary.Sample, 'route' | 'promptTokens'>): string {
  if (promptTokens <= 0) return route;
  const size = Math.max(1, promptTokens / SMALLEST_PROMPT_TOKENS);
  return `${route} ${Math.floor(Math.log(size) / Math.log(PROMPT_CLASS_FACTOR))}`;
}

export function record(
  cells: canary.Cells,
  sample: canary.Sample,
  side: canary.Side,
): canary.Cells {
  const name = cellKey(cells, cellName(sample));
  const cell = cells[name] ?? NO_RESPONSES;
  return { ...cells, [name]: { ...cell, [side]: increment(cell[side], sample) } };
}

function increment(
  { responses, failures, latencies }: canary.Counts,
  { isFailure, latencyMs }: canary.Sample,
): canary.Counts {
  // A failure may be quick or late for its own reasons.
  if (isFailure) return { responses: responses + 1, failures: failures + 1, latencies };
  const bin = binOf(latencyMs);
  const counted = Array.from(
    { length: Math.max(latencies.length, bin + 1) },
    (_, at) => (latencies[at] ?? 0) + (at === bin ? 1 : 0),
  );
  return { responses: responses + 1, failures, latencies: counted };
}

function cellKey(cells: canary.Cells, name: string): string {
  const isKnown = name in cells || Object.keys(cells).length < MAX_CELLS - 1;
  return isKnown ? name : OTHER_CELL;
}

/** The sum of both; a cell beyond the limit is added to one for all others. */
export function add(cells: canary.Cells, added: canary.Cells): canary.Cells {
  return Object.entries(added).reduce((sum, [name, cell]) => {
    const key = cellKey(sum, name);
    const before = sum[key] ?? NO_RESPONSES;
    const next = addCounts(before.next, cell.next);
    const previous = addCounts(before.previous, cell.previous);
    return { ...sum, [key]: { next, previous } };
  }, cells);
}

export function addCounts(one: canary.Counts, other: canary.Counts): canary.Counts {
  const bins = Math.max(one.latencies.length, other.latencies.length);
  const latencies = Array.from(
    { length: Math.min(BINS, bins) },
    (_, at) => (one.latencies[at] ?? 0) + (other.latencies[at] ?? 0),
  );
  return {
    responses: one.responses + other.responses,
    failures: one.failures + other.failures,
    latencies,
  };
}

/** Counts of the past lose weight, so that what holds now decides. */
export function decay(counts: canary.Counts, factor: number): canary.Counts {
  return {
    responses: counts.responses * factor,
    failures: counts.failures * factor,
    latencies: counts.latencies.map((each) => each * factor),
  };
}

export function total(cells: canary.Cells, side: canary.Side): canary.Counts {
  return Object.values(cells).reduce((sum, cell) => addCounts(sum, cell[side]), NO_COUNTS);
}
