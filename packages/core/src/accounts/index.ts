/** The way into client accounts. */
export * from './credentials.js';
