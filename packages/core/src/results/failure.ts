/** Expected failures: a numbered code with a detail for people, and whether the request ran. */
import * as codes from './codes.js';

/** Whether the request had an effect. It is reported to the caller and must be true. */
export type ExecutionStatus = 'not-run' | 'unknown' | 'ran';

export type Failure = { code: codes.CodeName; detail: string };

export function failure(code: codes.CodeName, detail: string): Failure {
  return { code, detail };
}

/** Formats a failure in one line for people: number, title and detail. */
export function describe(given: Failure): string {
  const code = codes.resultCodes[given.code];
  return `${code.number} ${code.title}: ${given.detail}`;
}
