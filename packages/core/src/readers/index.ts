/** Public exports of readers: which instance reads the platform and the context stores for which. */
export * as audiences from './audiences.js';
export * as groups from './groups.js';
export * as pieces from './pieces.js';
export * as storeBatch from './store-batch.js';
export * from './decide.js';
export * from './state.js';
