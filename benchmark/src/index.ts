/** Entry point of the benchmarks for tests. */
export * as choices from './models/choice.js';
export * as worlds from './models/world.js';
export * from './registry.js';
export * as controlPlane from './control-plane/fleet.js';
