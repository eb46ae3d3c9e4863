/** The way into the benchmarks, for tests. */
export * from './registry.js';
