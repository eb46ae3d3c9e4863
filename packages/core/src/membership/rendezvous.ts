/**
 * Rendezvous hashing: all instances that have the same names rank them in the same order. The
 * selection of relays and coordinators uses it as a hint only; no invariant may depend on two
 * instances agreeing.
 */
/** Parameters of FNV-1a with 32 bits. */
const OFFSET_BASIS = 0x81_1c_9d_c5;
const PRIME = 0x01_00_01_93;
const HASH_RANGE = 2 ** 32;

/** Sorts the names by their weight for the key, highest first. */
export function rank(key: string, names: readonly string[]): readonly string[] {
  return names
    .map((name) => ({ name, weight: weightOf(key, name) }))
    .sort((a, b) => b.weight - a.weight || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}

/** A placement ranks all upstreams of a service, so this is not a cryptographic hash. */
function weightOf(key: string, name: string): number {
  const hash = addToHash(addToHash(addToHash(OFFSET_BASIS, key), '\n'), name);
  return mix(hash);
}

/* eslint-disable no-bitwise -- FNV-1a and its mixing are defined on bits */
function addToHash(start: number, text: string): number {
  let hash = start;
  for (let at = 0; at < text.length; at += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(at), PRIME);
  }
  return hash;
}

/** The finalizer of MurmurHash3: names that differ in their last character only are spread as well. */
function mix(hash: number): number {
  const first = Math.imul(hash ^ (hash >>> 16), 0x85_eb_ca_6b);
  const second = Math.imul(first ^ (first >>> 13), 0xc2_b2_ae_35);
  return (second ^ (second >>> 16)) >>> 0;
}
/* eslint-enable no-bitwise */

/** The `count` names that rank highest for the key. */
export function selectTop(key: string, names: readonly string[], count: number): readonly string[] {
  return rank(key, names).slice(0, count);
}

/** The weight as a number above 0 and below 1, for rankings weighted by size. */
export function hashFraction(key: string, name: string): number {
  return (weightOf(key, name) + 1) / (HASH_RANGE + 1);
}
