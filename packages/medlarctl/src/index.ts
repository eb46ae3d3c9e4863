/** The operators' commands, for tests. */
export * as change from './change.js';
export * as command from './command.js';
export * as answers from './questionnaire/answers.js';
export * as generate from './questionnaire/generate.js';
export * as run from './run.js';
