/** The way into routing. */
export * from './decide.js';
export * as placement from './placement.js';
