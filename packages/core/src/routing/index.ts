/** The way into routing. */
export * from './decide.js';
export type * as eligible from './eligible.js';
export * as placement from './placement.js';
