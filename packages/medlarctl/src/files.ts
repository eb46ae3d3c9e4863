/** Files that operators name on the command line. */
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
