/** Exports the command line of the entry instance for tests. */
export * as commandLine from './command-line.js';
