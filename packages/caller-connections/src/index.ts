/** Public exports: the connections of callers to an HTTP server. */
export type * from './answers.js';
export * from './connections.js';
export type * from './turns.js';
