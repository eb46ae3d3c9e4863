/** Public interface of the routing module. */
export * as candidates from './candidates.js';
export * from './decide.js';
export type * as eligibility from './eligibility.js';
export * as placement from './placement.js';
export * from './state.js';
export type * as queueDelay from './queue-delay.js';
export * as prefillBacklogs from './prefill-backlogs.js';
