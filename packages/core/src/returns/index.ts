/** Assigned retry times of refused requests, and how instances recognise them. */
export * as assigned from './assigned.js';
export * as retryTime from './retry-time.js';
export * as slots from './slots.js';
