/**
 * Which instance gathers the operations on a page. It is a hint that saves writes: instances that
 * disagree about it meet at the conditional update, which alone decides.
 */
import * as crypto from 'node:crypto';

/** Rendezvous hashing: the instance with the highest hash together with the page. */
export function select(page: string, instances: readonly string[]): string | undefined {
  const [first] = instances
    .map((name) => ({ name, weight: weightOf(page, name) }))
    .sort((a, b) => b.weight - a.weight || a.name.localeCompare(b.name));
  return first?.name;
}

const WEIGHT_BYTES = 6;

function weightOf(page: string, name: string): number {
  const digest = crypto.createHash('sha256').update(`${page}\n${name}`).digest();
  return digest.readUIntBE(0, WEIGHT_BYTES);
}
