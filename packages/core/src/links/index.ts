/** The way into the links between stores and engines. */
export * from './decide.js';
export * from './rate-estimate.js';
