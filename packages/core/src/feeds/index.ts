/** Public interface of the report streams module. */
export * from './decide.js';
