/**
 * The upstreams that a prompt prefers: the first ones of an order by rendezvous hashing of its shared
 * part that have not more than their part of the prompts of its kind (consistent hashing with bounded
 * loads: Mirrokni, Thorup and Zadimoghaddam, 2018). Few prompts stay on few upstreams; more of them fill
 * these, and go further down the order.
 */
import * as rendezvous from '../membership/rendezvous.js';
import type * as states from './state.js';

/** Upstreams that one placement compares at first, as in the power of two choices. */
const FIRST_CHOICES = 2;
/** Upstreams that it compares if these are occupied or full; more would each need the shared part again. */
const FURTHER_CHOICES = 6;
/**
 * An upstream may have this many times the mean number of prompts of a kind in flight. A lower bound moves
 * shared parts between upstreams more often, which then prefill them again.
 */
const MAX_LOAD_FACTOR = 3;
/** A single prompt in flight never counts as too much. */
const MIN_BOUND = 1;

export type Preference = {
  first: ReadonlySet<string>;
  /** The first ones included. */
  further: ReadonlySet<string>;
};

export function choose(
  { levels, inFlight }: Pick<states.Mix, 'levels' | 'inFlight'>,
  kind: states.Kind,
  key: string,
  ids: readonly string[],
): Preference {
  const levelOf = (id: string) => levels.get(id)?.[kind] ?? 0;
  const order = rendezvous.rank(key, ids);
  const mean = inFlight[kind] / Math.max(1, levels.size);
  const bound = Math.max(MIN_BOUND, mean * MAX_LOAD_FACTOR);
  const preferred: string[] = [];
  for (let at = 0; at < order.length && preferred.length < FURTHER_CHOICES; at += 1) {
    const { [at]: id = '' } = order;
    if (levelOf(id) <= bound) preferred.push(id);
  }
  if (preferred.length < FIRST_CHOICES) preferred.push(...order.slice(0, FURTHER_CHOICES));
  return {
    first: new Set(preferred.slice(0, FIRST_CHOICES)),
    further: new Set(preferred.slice(0, FURTHER_CHOICES)),
  };
}

/** Chance that a prompt outside of the first choices goes to one of the further ones. */
const FURTHER_SHARE = 0.1;

/**
 * How often prompts with the shared part are expected at an upstream per ms, given how often they are
 * sent to all.
 */
export function ratePerMs({ first, further }: Preference, id: string, sentPerMs: number): number {
  if (first.has(id)) return sentPerMs / first.size;
  return further.has(id) ? (sentPerMs * FURTHER_SHARE) / first.size : 0;
}
