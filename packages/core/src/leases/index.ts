/** Public interface of the leases module. */
export * from './decide.js';
export * from './lease.js';
export * from './permission.js';
export * as standby from './standby.js';
