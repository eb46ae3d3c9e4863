/**
 * Rendezvous hashing: all instances that have the same names rank them in the same order. The
 * selection of relays and coordinators uses it as a hint only; no invariant may depend on two
 * instances agreeing.
 */
import * as crypto from 'node:crypto';

const HASH_BYTES = 6;

/** Sorts the names by their weight for the key, highest first. */
export function rank(key: string, names: readonly string[]): readonly string[] {
  return names
    .map((name) => ({ name, weight: weightOf(key, name) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}

function weightOf(key: string, name: string): number {
  return crypto.createHash('sha256').update(`${key}\n${name}`).digest().readUIntBE(0, HASH_BYTES);
}

/** The `count` names that rank highest for the key. */
export function selectTop(key: string, names: readonly string[], count: number): readonly string[] {
  return rank(key, names).slice(0, count);
}

/** The weight as a number above 0 and below 1, for rankings weighted by size. */
export function hashFraction(key: string, name: string): number {
  return (weightOf(key, name) + 1) / (2 ** (8 * HASH_BYTES) + 1);
}
