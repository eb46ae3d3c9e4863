/** The way into events. */
export * from './catalogue.js';
export * from './event.js';
export * from './explain.js';
