/** The way into line feeds. */
export * from './line-feed.js';
