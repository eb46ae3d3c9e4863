/** The way into kept context. */
export * as directory from './directory.js';
export * as keep from './keep.js';
export * from './naming.js';
export * as returns from './returns.js';
export * from './safe-read.js';
export type * as sequences from './sequences.js';
export * as storeIndex from './store-index.js';
