/** Upstreams that do not answer: what instances tell each other of them, and what follows from it. */
export * as judgement from './judgement.js';
export * as sharing from './sharing.js';
export * as types from './types.js';
