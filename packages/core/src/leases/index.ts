/** Public interface of the leases module. */
export * from './decide.js';
export * from './lease.js';
export * from './permission.js';
