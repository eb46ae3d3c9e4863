/** Exports the decision of the metrics tasks. */
export * from './decide.js';
