/** The way into metrics. */
export * from './decide.js';
