/** The way into result codes and failures. */
export * from './codes.js';
export * from './failure.js';
export * from './never.js';
