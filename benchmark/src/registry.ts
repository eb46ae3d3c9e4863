/** Registry of benchmarks. Each registers itself when its module is imported. */

/** Result of a benchmark: lines for people and one object for scripts. */
export type Report = { lines: readonly string[]; data: unknown };
export type Benchmark = { name: string; summary: string; run(): Promise<Report> };

const registered = new Map<string, Benchmark>();

export function register(added: Benchmark): void {
  registered.set(added.name, added);
}

export function find(name: string): Benchmark | undefined {
  return registered.get(name);
}

export function all(): readonly Benchmark[] {
  return [...registered.values()];
}
