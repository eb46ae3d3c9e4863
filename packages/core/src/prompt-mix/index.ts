/** Long prompts beside short ones: which are long, where they go, and what they cost others there. */
export * as cost from './cost.js';
export * as learning from './learning.js';
export * as plan from './plan.js';
export * as preference from './preference.js';
export * as priority from './priority.js';
export * as sizes from './sizes.js';
export * as state from './state.js';
export * as work from './work.js';
