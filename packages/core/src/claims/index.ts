/** Public interface of the claims module. */
export * as attempts from './attempts.js';
export * as batches from './batches.js';
export * from './command.js';
export * from './decide.js';
export * as peerMessages from './peer-messages.js';
export * as coordinator from './coordinator.js';
export * as keys from './keys.js';
export * as outcomes from './outcomes.js';
export * as pageState from './page-state.js';
export * as page from './page.js';
export * from './state.js';
export { PROBE_KEY, PROBE_MS } from './attempt-operations.js';
