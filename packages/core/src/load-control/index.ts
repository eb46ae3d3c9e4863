/** Decides for which services load is controlled by prediction. */
export * from './predictive.js';
