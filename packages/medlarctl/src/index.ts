/** The operators' commands, for tests. */
import './commands/index.js';

export * as change from './change.js';
export * as commandLine from './command-line.js';
export * as confirm from './confirm.js';
export * as difference from './difference.js';
export * as exitCodes from './exit-codes.js';
export * as answers from './questionnaire/answers.js';
export * as flow from './questionnaire/flow.js';
export * as generate from './questionnaire/generate.js';
export * as redact from './redact.js';
export * as registry from './registry.js';
