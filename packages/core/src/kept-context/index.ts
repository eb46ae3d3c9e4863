/** Public interface of the kept-context module. */
export * as directory from './directory.js';
export * as retention from './retention.js';
export * from './naming.js';
export * as reuse from './reuse.js';
export * from './safe-read.js';
export type * as sequences from './sequences.js';
export * as storeIndex from './store-index.js';
