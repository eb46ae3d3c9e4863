/** The exit codes of `medlarctl`; `docs/OPERATING.md` shows this table. */
import type * as core from '@medlarweir/core';

export type ExitCode = { code: number; meaning: string };

export const DONE: ExitCode = { code: 0, meaning: 'done' };
export const FAILED: ExitCode = {
  code: 1,
  meaning: 'failed or declined; the text says whether anything was changed',
};
export const WRONG_USE: ExitCode = {
  code: 2,
  meaning: 'the command line cannot be carried out; nothing was changed',
};
export const ALL: readonly ExitCode[] = [DONE, FAILED, WRONG_USE];

const WRONG_USES: readonly core.results.CodeName[] = ['wrongUse', 'unknownCommand'];

export function of(failure: core.results.Failure): number {
  return WRONG_USES.includes(failure.code) ? WRONG_USE.code : FAILED.code;
}
