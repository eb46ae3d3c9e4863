/** Exports the quarantine of prompt parts that crash upstreams. */
export * from './check.js';
export * from './command.js';
export * as evidence from './evidence.js';
export * as ledger from './ledger.js';
export * from './names.js';
export * as publishing from './publishing.js';
export * as recording from './recording.js';
export * as storing from './storing.js';
export * as suspicion from './suspicion.js';
export * as tally from './tally.js';
export * as trials from './trials.js';
export type * from './types.js';
export * as verdicts from './verdicts.js';
