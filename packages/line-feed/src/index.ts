/** The public exports of the line feed package. */
export * from './line-feed.js';
export * from './socket-breaks.js';
