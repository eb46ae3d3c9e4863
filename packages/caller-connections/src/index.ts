/** Public exports: the connections of callers to an HTTP server. */
export type * from './answers.js';
export * as bodies from './bodies.js';
export * from './connections.js';
export type { Dropped, Holding } from './holdings.js';
export * as memoryBudget from './memory-budget.js';
export * as limits from './limits.js';
export * as small from './small.js';
export type * from './turns.js';
export type * from './types.js';
