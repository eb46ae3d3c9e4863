/** The way into routing. */
export * as candidates from './candidates.js';
export * from './decide.js';
export type * as eligible from './eligible.js';
export * as placement from './placement.js';
export * from './state.js';
export type * as waiting from './waiting.js';
export * as workAhead from './work-ahead.js';
