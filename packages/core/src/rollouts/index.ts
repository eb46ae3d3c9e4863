/** The way into rollouts. */
export * from './decide.js';
export * from './inputs.js';
export * from './wave.js';
