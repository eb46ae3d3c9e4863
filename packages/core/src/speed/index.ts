/** How fast upstreams work, and the delay that is predicted from it. */
export * from './describe.js';
export * from './plain.js';
export * from './rate.js';
export * from './record.js';
export * as fit from './fit.js';
export * as reports from './reports.js';
export * as serviceModel from './service-model.js';
export * as sharing from './sharing.js';
export type * from './types.js';
export * as upstreamModel from './upstream-model.js';
