/** Exports the settings of both kinds of instance, their flags and addresses. */
export * as address from './address.js';
export * from './flags.js';
export * as gateway from './gateway.js';
export * from './schema.js';
