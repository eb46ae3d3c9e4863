/** Public exports: checks of the head of a received request. */
export * from './head.js';
