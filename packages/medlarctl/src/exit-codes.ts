/** The exit codes of `medlarctl`; the table in `docs/OPERATING.md` is generated from them. */
import type * as core from '@medlarweir/core';

export type ExitCode = { code: number; meaning: string };

export const SUCCESS: ExitCode = { code: 0, meaning: 'done' };
export const FAILURE: ExitCode = {
  code: 1,
  meaning: 'failed or declined; the text says whether anything was changed',
};
export const USAGE_ERROR: ExitCode = {
  code: 2,
  meaning: 'the command line cannot be carried out; nothing was changed',
};
export const ALL: readonly ExitCode[] = [SUCCESS, FAILURE, USAGE_ERROR];

const USAGE_ERROR_CODES: readonly core.results.CodeName[] = ['wrongUse', 'unknownCommand'];

export function forFailure(failure: core.results.Failure): number {
  return USAGE_ERROR_CODES.includes(failure.code) ? USAGE_ERROR.code : FAILURE.code;
}
