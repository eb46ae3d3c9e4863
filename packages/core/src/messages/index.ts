/** The way into the messages between tasks. */
export * from './admission.js';
export * from './callers.js';
export * from './claims.js';
export * from './cold-starts.js';
export * from './configuration.js';
export * from './exchange.js';
export * from './journal.js';
export * from './life.js';
export * from './mailboxes.js';
export * from './membership.js';
export * from './orders.js';
export * from './peers.js';
export * from './platform.js';
export * from './routing.js';
export * from './stores.js';
export * from './upstreams.js';
