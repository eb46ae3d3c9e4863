/** Public exports of the fleet: upstream discovery, health, placement and peer updates. */
export * from './decide.js';
export * as rateLimit from './rate-limit.js';
export * as upstreamHealth from './upstream-health.js';
export * as namedLimit from './named-limit.js';
export * as discovery from './discovery.js';
export * as peerWork from './peer-work.js';
export * as placement from './placement.js';
export * as quarantineSteps from './quarantine-steps.js';
export type * as reach from './reach.js';
export * as queue from './queue.js';
export * as prefillRate from './prefill-rate.js';
export type * as waitClaims from './wait-claims.js';
export type * as waitRefusals from './wait-refusals.js';
export type * as accountUsage from './account-usage.js';
export * as state from './state.js';
export * as peerUpdates from './peer-updates.js';
export * as upstream from './upstream.js';
