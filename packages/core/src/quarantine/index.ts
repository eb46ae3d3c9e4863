/** Exports the quarantine of prompt parts that crash upstreams. */
export * from './names.js';
export type * from './types.js';
