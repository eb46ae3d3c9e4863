/** The way into admission. */
export * from './decide.js';
