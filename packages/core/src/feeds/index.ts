/** The way into report streams. */
export * from './decide.js';
