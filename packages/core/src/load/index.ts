/** Public interface of the load module. */
export * as slowStart from './slow-start.js';
export * from './peer-digest.js';
export * as rights from './rights.js';
export * from './two-choices.js';
export * from './view.js';
