/** The way into what binaries share. */
export * from './command-line.js';
export * from './run.js';
