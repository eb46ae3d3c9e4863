/** Public interface of canary releases. */
export * from './decide.js';
export * as applied from './applied.js';
export * as evidence from './evidence.js';
export * as progress from './progress.js';
export * as sample from './sample.js';
export * as sequential from './sequential.js';
export * as side from './side.js';
export * as steps from './steps.js';
export * from './state.js';
export * from './types.js';
