/** Public interface of admission control. */
export * from './decide.js';
export * as concurrencyLimit from './concurrency-limit.js';
