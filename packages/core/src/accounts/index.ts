/** Exports authentication by credential. */
export * from './credentials.js';
