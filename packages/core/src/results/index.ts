/** Exports result codes and failures. */
export type * from './code.js';
export * from './codes.js';
export * from './failure.js';
export * from './assert-never.js';
