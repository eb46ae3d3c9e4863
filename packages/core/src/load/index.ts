/** The way into load. */
export * from './view.js';
