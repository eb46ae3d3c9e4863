/** Public interface of the links module: the links between stores and engines. */
export * from './decide.js';
export * from './rate-estimate.js';
