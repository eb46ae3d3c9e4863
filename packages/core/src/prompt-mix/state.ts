/** What an instance has learned about the mix of a service's prompts. Updated in place; soft state. */
import * as sizes from './sizes.js';

export type Kind = 'short' | 'long';

/** Mean number of prompts of all instances in flight at an upstream. */
export type Level = Record<Kind, number>;

/** A number of requests that decays over time. */
export type Count = { value: number; atMs: number };

/** Means over this instance's own prompts of a kind; undefined before the first. */
export type Means = {
  /** From the placement to the end of the answer. */
  residenceMs: number | undefined;
  /** Tokens that the upstream still had to prefill. */
  unreadTokens: number | undefined;
};

export type Mix = {
  sizes: sizes.Sizes;
  means: Record<Kind, Means>;
  /** By upstream id. */
  levels: Map<string, Level>;
  levelsAtMs: number;
  /** Sum of the levels of all upstreams of the service. */
  inFlight: Level;
  /** This instance's prompts by last shared part, the least recently used first. */
  parts: Map<string, Count>;
  sinceMs: number;
};

/** By service. */
export type Mixes = Map<string, Mix>;

export function create(nowMs: number): Mix {
  const none = (): Means => ({ residenceMs: undefined, unreadTokens: undefined });
  return {
    sizes: sizes.create(),
    means: { short: none(), long: none() },
    levels: new Map(),
    levelsAtMs: nowMs,
    inFlight: { short: 0, long: 0 },
    parts: new Map(),
    sinceMs: nowMs,
  };
}

/** Share of a value that is left after a time, with a time constant. */
export function keptShare(elapsedMs: number, constantMs: number): number {
  return Math.exp(-Math.max(0, elapsedMs) / constantMs);
}

export function smoothed(known: number | undefined, sample: number, weight: number): number {
  return known === undefined ? sample : known + (sample - known) * weight;
}
