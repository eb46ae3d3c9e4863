/** The way into kept context. */
export * as directory from './directory.js';
export * from './naming.js';
export * from './safe-read.js';
