/** Public exports of stream origins: which software version began a stream, and may go on with it. */
export * from './decide.js';
export * as record from './record.js';
export * as state from './state.js';
export type * from './beginnings.js';
export type * from './origin.js';
