/** Shows what a change would do and asks before it is made. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as difference from './difference.js';
import type * as registry from './registry.js';

/** Agreed, or a failure that says why nothing was changed. */
export type Decision = neverthrow.Result<'agreed', core.results.Failure>;

export async function request(
  input: Pick<registry.Input, 'ask' | 'printLine' | 'isAssumedYes'>,
  before: core.configuration.Configuration | undefined,
  after: core.configuration.Configuration,
): Promise<Decision> {
  difference.describe(difference.compare(before, after)).forEach(input.printLine);
  if (input.isAssumedYes) return neverthrow.ok('agreed');
  return parseReply(await input.ask('Put this in force (yes, no) [no]: '));
}

/** Only a clear yes agrees; no line at all means that there is nobody to ask. */
export function parseReply(line: string | undefined): Decision {
  if (line === undefined) {
    return decline('there is no terminal to ask at; nothing was changed (--yes agrees beforehand)');
  }
  const isAgreed = ['y', 'yes'].includes(line.trim().toLowerCase());
  return isAgreed ? neverthrow.ok('agreed') : decline('nothing was changed');
}

function decline(detail: string): Decision {
  return neverthrow.err(core.results.failure('declined', detail));
}
