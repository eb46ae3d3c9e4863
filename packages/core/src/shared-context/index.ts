/** The way into context that is kept in stores managed by the system. */
export * as holdings from './holdings.js';
export * as plan from './plan.js';
export * as readers from './readers.js';
export * as salt from './salt.js';
