/** The way into settings. */
export * as address from './address.js';
export * from './flags.js';
export * as gateway from './gateway.js';
export * from './schema.js';
