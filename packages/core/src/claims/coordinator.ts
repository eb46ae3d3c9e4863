/**
 * Selects the coordinator of a page, which batches the operations on it. The selection is a hint
 * that saves writes: if instances disagree on it, the conditional update decides between them.
 */
import * as crypto from 'node:crypto';

/** Rendezvous hashing: returns the instance with the highest hash of page and name. */
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
