/** The way into the benchmarks, for tests. */
export * from './registry.js';
export * as controlPlane from './control-plane/fleet.js';
