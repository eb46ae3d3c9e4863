/** The way into admission. */
export * from './decide.js';
export * as limit from './limit.js';
