/** The way into the kernel. */
export * from './kernel.js';
export * from './plugin.js';
export * from './registry.js';
export * from './task.js';
