/**
 * Rendezvous hashing: every instance that knows the same names ranks them alike. Used as a hint for
 * who relays and who gathers; nothing that must hold may depend on two instances agreeing.
 */
import * as crypto from 'node:crypto';

const HASH_BYTES = 6;

/** The names in the order of their rank for the key, highest first. */
export function rank(key: string, names: readonly string[]): readonly string[] {
  return names
    .map((name) => ({ name, weight: weigh(key, name) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}

function weigh(key: string, name: string): number {
  return crypto.createHash('sha256').update(`${key}\n${name}`).digest().readUIntBE(0, HASH_BYTES);
}

/** The first few names of the ranking. */
export function selectTop(key: string, names: readonly string[], count: number): readonly string[] {
  return rank(key, names).slice(0, count);
}

/** The weight as a number above 0 and below 1, for rankings weighted by size. */
export function hashFraction(key: string, name: string): number {
  return (weigh(key, name) + 1) / (2 ** (8 * HASH_BYTES) + 1);
}
