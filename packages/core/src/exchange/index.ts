/** The way into the life of a request. */
export * from './command.js';
export * as plain from './plain.js';
export * as promptState from './prompt-state.js';
export * as prompt from './prompt.js';
export * as retryBudget from './retry-budget.js';
export * from './execution-status.js';
