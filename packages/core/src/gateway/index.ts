/** The way into the gateway's decisions. */
export * as access from './access.js';
export * as answers from './answers.js';
export * as confirmation from './confirmation.js';
export * as decide from './decide.js';
export * as lifecycle from './lifecycle.js';
export * as lifecycleState from './lifecycle-state.js';
export * as request from './request.js';
export * as retryShare from './retry-share.js';
export * as routes from './routes.js';
