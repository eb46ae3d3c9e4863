/** Exports the decisions about requests that go through other instances. */
export * from './decide.js';
export * as peers from './peers.js';
