/** The way into the fleet's decisions. */
export * from './decide.js';
export * as coldShare from './cold-share.js';
export * as evidence from './evidence.js';
export * as listing from './listing.js';
export * as peerWork from './peer-work.js';
export * as placement from './placement.js';
export * as queue from './queue.js';
export * as readRate from './read-rate.js';
export * as state from './state.js';
export * as telling from './telling.js';
export * as upstream from './upstream.js';
