/** Public interface of the decisions about requests from their start to their end. */
export * from './command.js';
export * as plain from './plain.js';
export * as promptState from './prompt-state.js';
export * as prompt from './prompt.js';
export * as retryBudget from './retry-budget.js';
export * from './execution-status.js';
