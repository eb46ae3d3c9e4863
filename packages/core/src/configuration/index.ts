/** Public interface of the configuration module. */
export { TICKETS } from './adoption.js';
export * from './decide.js';
export * from './changes.js';
export * from './validation.js';
export { MAX_CONFIRMATION_AGE_MS as CONFIRMED_WITHIN_MS, TICK_MS } from './confirmation.js';
export * as heads from './head.js';
export * from './schema.js';
export * from './state.js';
