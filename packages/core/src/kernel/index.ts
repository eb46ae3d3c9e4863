/** Exports the kernel, plug-ins, their registry and tasks. */
export * from './kernel.js';
export * from './plugin.js';
export * from './registry.js';
export * from './task.js';
