/** Exports the kernel, listeners, plug-ins, their registry and tasks. */
export * from './kernel.js';
export * from './listening.js';
export * from './plugin.js';
export * from './registry.js';
export * from './task.js';
