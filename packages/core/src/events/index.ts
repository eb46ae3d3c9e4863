/** Exports the event catalogue and the explanation of a request. */
export * from './catalogue.js';
export * from './event.js';
export * from './explain.js';
