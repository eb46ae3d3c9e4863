/** The way into settings. */
export * from './schema.js';
