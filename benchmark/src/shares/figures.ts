/** Figures of one run of the model. */
import type * as callers from './callers.js';

export type Served = { asked: number; inTime: number; answered: number };

export function served(calls: readonly callers.Call[]): Served {
  return {
    asked: calls.length,
    inTime: calls.filter(isInTime).length,
    answered: calls.filter(({ isEnded }) => isEnded).length,
  };
}

export function isInTime({ firstTokenMs, isEnded, kind }: callers.Call): boolean {
  return isEnded && firstTokenMs !== undefined && firstTokenMs <= kind.latencyTargetMs;
}

export function groupBy(
  calls: readonly callers.Call[],
  keyOf: (call: callers.Call) => string,
): Record<string, Served> {
  const groups = new Map<string, callers.Call[]>();
  calls.forEach((call) => groups.set(keyOf(call), [...(groups.get(keyOf(call)) ?? []), call]));
  return Object.fromEntries([...groups].sort().map(([key, group]) => [key, served(group)]));
}

/** Jain's index over the work that accounts got; 1 if all got the same. */
export function jain(values: readonly number[]): number {
  const sum = values.reduce((total, each) => total + each, 0);
  const squares = values.reduce((total, each) => total + each ** 2, 0);
  return squares === 0 ? 1 : sum ** 2 / (values.length * squares);
}

/** Work of the answered calls by account, in prompt tokens. */
export function workByAccount(calls: readonly callers.Call[]): ReadonlyMap<string, number> {
  const work = new Map<string, number>();
  calls.forEach(({ account, isEnded, prompt }) => {
    const tokens = isEnded ? prompt.parts.reduce((sum, each) => sum + each.tokens, 0) : 0;
    work.set(account.name, (work.get(account.name) ?? 0) + tokens);
  });
  return work;
}

export function percentile(values: readonly number[], share: number): number | null {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? null;
}

export function refusalMs(calls: readonly callers.Call[]) {
  const times = calls.flatMap(({ firstRefusalMs }) => firstRefusalMs ?? []);
  return { refused: times.length, p50: percentile(times, 0.5), p99: percentile(times, 0.99) };
}

/** Of the longest tenth of the long prompts, the share that was answered, against that of all of them. */
export function largestTenth(calls: readonly callers.Call[]): number | null {
  const long = calls.filter(({ kind }) => kind.size === 'long');
  const sizeOf = ({ prompt }: callers.Call) =>
    prompt.parts.reduce((sum, each) => sum + each.tokens, 0);
  const largest = [...long]
    .sort((a, b) => sizeOf(b) - sizeOf(a))
    .slice(0, Math.ceil(long.length / 10));
  const share = (some: readonly callers.Call[]) => served(some).answered / Math.max(1, some.length);
  return long.length === 0 ? null : share(largest) / Math.max(Number.EPSILON, share(long));
}

export function round(value: number | null): number | null {
  return value === null ? null : Math.round(value * 1_000) / 1_000;
}
