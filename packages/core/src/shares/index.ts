/** Fair shares of client accounts under contention: ledger, limits of wait, order, waiting requests. */
export * as decayed from './decayed.js';
export * as fairShare from './fair-share.js';
export * as ledger from './ledger.js';
export * as order from './order.js';
export * as pace from './pace.js';
export * as ranks from './ranks.js';
export * as updates from './updates.js';
export * as waitLimit from './wait-limit.js';
export * as waitingQueue from './waiting-queue.js';
export type * from './types.js';
