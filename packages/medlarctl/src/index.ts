/** Exports the modules of `medlarctl`, and registers its commands, for tests and tools. */
import './commands/index.js';

export * as change from './change.js';
export * as commandLine from './command-line.js';
export * as confirmation from './confirmation.js';
export * as difference from './difference.js';
export * as exitCodes from './exit-codes.js';
export * as answers from './questionnaire/answers.js';
export * as flow from './questionnaire/flow.js';
export * as generator from './questionnaire/generator.js';
export * as secrets from './secrets.js';
export * as registry from './registry.js';
