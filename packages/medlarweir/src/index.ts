/** The entry instance's command line, for tests. */
export * as flags from './flags.js';
