/** The way into configuration. */
export { TICKETS } from './adopt.js';
export * from './adoption.js';
export * from './changes.js';
export * from './check.js';
export { CONFIRMED_WITHIN_MS, TICK_MS } from './confidence.js';
export * as heads from './head.js';
export * from './schema.js';
export * from './state.js';
