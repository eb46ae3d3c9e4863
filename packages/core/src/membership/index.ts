/** The way into membership. */
export * from './decide.js';
