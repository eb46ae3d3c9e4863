/** Public interface of the gateway's decision modules. */
export * as access from './access.js';
export * as attemptResult from './attempt-result.js';
export * as staleness from './staleness.js';
export * as decide from './decide.js';
export * as lifecycle from './lifecycle.js';
export * as lifecycleState from './lifecycle-state.js';
export * as overload from './overload.js';
export * as request from './request.js';
export * as requestContent from './request-content.js';
export * as retryBudget from './retry-budget.js';
export * as routes from './routes.js';
