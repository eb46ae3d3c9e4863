/** Public exports of knowledge: what an instance knows of the platform's objects, and how it follows them. */
export * as answers from './answers.js';
export * as backoff from './backoff.js';
export * as keys from './keys.js';
export * as relayed from './relayed.js';
export * as rules from './rules.js';
export * as significant from './significant.js';
export * as updates from './updates.js';
export * as versions from './versions.js';
export * as watches from './watches.js';
