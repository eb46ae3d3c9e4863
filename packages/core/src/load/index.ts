/** The way into load. */
export * from './relay.js';
export * from './view.js';
