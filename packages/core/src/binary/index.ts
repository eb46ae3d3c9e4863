/** Exports the command line and the startup of the binaries. */
export * from './command-line.js';
export * from './run.js';
