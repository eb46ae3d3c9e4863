/** The way into context that is kept in stores managed by the system. */
export * as inventory from './inventory.js';
export * as plan from './plan.js';
export * as eventReaders from './event-readers.js';
export * as salt from './salt.js';
