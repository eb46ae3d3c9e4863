/** The way into load. */
export * as ramp from './ramp.js';
export * from './relay.js';
export * as rights from './rights.js';
export * from './sample.js';
export * from './view.js';
