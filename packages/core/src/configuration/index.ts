/** The way into configuration. */
export * from './adoption.js';
export * from './check.js';
export * from './schema.js';
