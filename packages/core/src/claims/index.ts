/** The way into claims. */
export * from './decide.js';
export * as page from './page.js';
