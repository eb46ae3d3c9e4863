/** Exports the parser of JSON text from outside the process, and the mark of content that is not used. */
export * from './parse.js';
export * from './unreadable.js';
