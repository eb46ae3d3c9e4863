/** The entry instance's command line, for tests. */
export * as commandLine from './command-line.js';
