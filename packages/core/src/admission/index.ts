/** The way into admission. */
export * from './decide.js';
export * as concurrencyLimit from './concurrency-limit.js';
