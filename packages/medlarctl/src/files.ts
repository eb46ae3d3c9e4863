/** Reads files that are named on the command line. */
import * as fs from 'node:fs/promises';

import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

export async function readJson(
  file: string,
): Promise<neverthrow.Result<unknown, core.results.Failure>> {
  try {
    return neverthrow.ok(JSON.parse(await fs.readFile(file, 'utf8')) as unknown);
  } catch (error) {
    return neverthrow.err(core.results.failure('invalidInput', `${file}: ${String(error)}`));
  }
}

/** Returns the contents of the named files, or of standard input if none is named. */
export async function readTexts(
  names: readonly string[],
): Promise<neverthrow.Result<readonly string[], core.results.Failure>> {
  const sources = names.length > 0 ? names : [STDIN_PATH];
  try {
    return neverthrow.ok(await Promise.all(sources.map((name) => fs.readFile(name, 'utf8'))));
  } catch (error) {
    return neverthrow.err(core.results.failure('invalidInput', String(error)));
  }
}

const STDIN_PATH = '/dev/stdin';
