/** The way into leases. */
export * from './decide.js';
export * from './lease.js';
export * from './permission.js';
