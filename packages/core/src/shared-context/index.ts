/** Public exports of shared context: KV cache parts kept in context stores. */
export * as inventory from './inventory.js';
export * as plan from './plan.js';
export * as salt from './salt.js';
