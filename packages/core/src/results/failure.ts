/** Expected failures: a numbered code, a text for people, and what is known about the run. */
import * as codes from './codes.js';

/** Whether the request had an effect: said to the caller, so it must be true. */
export type ExecutionStatus = 'not-run' | 'unknown' | 'ran';

export type Failure = { code: codes.CodeName; detail: string };

export function failure(code: codes.CodeName, detail: string): Failure {
  return { code, detail };
}

/** One line for people: number, title and detail. */
export function describe(given: Failure): string {
  const code = codes.resultCodes[given.code];
  return `${code.number} ${code.title}: ${given.detail}`;
}
