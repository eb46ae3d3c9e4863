/** The patterns of load that are measured. */
import type * as callers from './callers.js';
import type * as worlds from './world.js';

const INSTANCES = 8;
const ENGINES = 8;
const ACCOUNTS = 6;
/** Requests a second of each size that the engines serve in time, about; see `docs/design/shares.md`. */
export const CAPACITY_PER_S = 120;
const WARM_UP_MS = 4_000;

export const SEEDS: readonly number[] = [20_261_206, 20_261_207];

function account(at: number, manner: callers.Manner = 'patient'): callers.Account {
  return { name: `account-${at}`, manner };
}

const ALL = Array.from({ length: ACCOUNTS }, (_, at) => account(at));

function base(load: number, untilMs: number, accounts = ALL): readonly callers.Stream[] {
  return accounts.flatMap((each) =>
    (['long', 'short'] as const).map((size) => ({
      account: each,
      size,
      fromMs: 0,
      untilMs,
      perS: (CAPACITY_PER_S * load) / 2 / accounts.length,
    })),
  );
}

function schedule(
  seed: number,
  untilMs: number,
  streams: readonly callers.Stream[],
  incidents: readonly worlds.Incident[] = [],
): worlds.Schedule {
  return { seed, instances: INSTANCES, engines: ENGINES, untilMs, streams, incidents };
}

/** All accounts demand the same, and together half as much again as there is. */
export function equalClaims(seed: number): worlds.Schedule {
  return schedule(seed, 20_000, base(1.5, 20_000));
}

export const BURST = { fromMs: 8_000, untilMs: 13_000, account: 'account-0', seenUntilMs: 18_000 };

/** One account demands as much as there is, for five seconds. */
export function burstOfOne(seed: number, hasBurst: boolean): worlds.Schedule {
  const { fromMs, untilMs } = BURST;
  const burst = (['long', 'short'] as const).map((size) => ({
    account: account(0),
    size,
    fromMs,
    untilMs,
    perS: CAPACITY_PER_S / 2,
  }));
  const streams = base(0.6, 20_000);
  return schedule(seed, 20_000, hasBurst ? [...streams, ...burst] : streams);
}

export const LONG_BURST = { fromMs: 10_000, untilMs: 15_400, backAtMs: 20_000, endMs: 36_000 };

/** A burst of long prompts while a quarter of the engines is gone for 12 s. */
export function longBurst(seed: number): worlds.Schedule {
  const { fromMs, untilMs, backAtMs, endMs } = LONG_BURST;
  const burst = ALL.map((each) => ({
    account: each,
    size: 'long' as const,
    fromMs,
    untilMs,
    perS: (CAPACITY_PER_S * 1.5) / ACCOUNTS,
  }));
  return schedule(
    seed,
    endMs,
    [...base(0.6, endMs), ...burst],
    [{ kind: 'engines-gone', share: 0.25, fromMs: backAtMs - 12_000, untilMs: backAtMs }],
  );
}

/** One account comes back at once whatever it is told, at half as much again as there is. */
export function greedyReturns(seed: number): worlds.Schedule {
  const accounts = ALL.map((_, at) => account(at, at === 0 ? 'greedy' : 'patient'));
  return schedule(seed, 20_000, base(1.5, 20_000, accounts));
}

/** Half of the instances are killed under load, and those left hear nothing from each other. */
export function halfGone(seed: number): worlds.Schedule {
  return schedule(seed, 24_000, base(1.2, 24_000), [
    { kind: 'instances-gone', share: 0.5, atMs: 8_000 },
    { kind: 'peers-silent', fromMs: 8_000, untilMs: 24_000 },
  ]);
}

export function isMeasured(call: callers.Call): boolean {
  return call.sentAtMs >= WARM_UP_MS;
}
