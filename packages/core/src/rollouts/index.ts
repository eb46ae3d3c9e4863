/** The way into rollouts. */
export * from './decide.js';
export * from './view.js';
export * from './wave.js';
