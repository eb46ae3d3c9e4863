/** The operators' commands, for tests. */
import './commands/index.js';

export * as change from './change.js';
export * as commandLine from './command-line.js';
export * as answers from './questionnaire/answers.js';
export * as generate from './questionnaire/generate.js';
export * as registry from './registry.js';
