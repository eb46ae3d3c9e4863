/** Public interface of the decisions about planned stops. */
export * from './drain.js';
