/** Public exports of rollouts: moving upstreams to new weights in waves. */
export * from './decide.js';
export * from './inputs.js';
export * as targets from './targets.js';
export * from './wave.js';
