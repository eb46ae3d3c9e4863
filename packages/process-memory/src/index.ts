/** Public exports: what a process may hold in memory, and when it collects what it no longer uses. */
export * as blocks from './blocks.js';
export * as collector from './collector.js';
export * as division from './division.js';
export * as pressure from './pressure.js';
