/** Public interface of the membership module. */
export * from './decide.js';
export * from './relays.js';
export * from './rendezvous.js';
export * from './state.js';
