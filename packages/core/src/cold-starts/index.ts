/** Public interface of the cold-starts module. */
export * from './decide.js';
export * as lease from './lease.js';
export { initial, KEY_PREFIX, TICK_MS, type Command, type State } from './state.js';
export * as attemptOrder from './attempt-order.js';
