/** The way into settings. */
export * from './flags.js';
export * as gateway from './gateway.js';
export * from './schema.js';
