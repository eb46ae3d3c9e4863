/** Exports the examples' modules for tests. */
export * as clusters from './cluster.js';
export * as deployments from './deployment.js';
export * as processes from './processes.js';
