/** Shows what a change would do and asks before it is made. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as difference from './difference.js';
import type * as registry from './registry.js';

/** Agreed, or a failure that says why nothing was changed. */
export type Confirmation = neverthrow.Result<'agreed', core.results.Failure>;

export async function confirm(
  input: Pick<registry.Input, 'ask' | 'say' | 'isAssumedYes'>,
  before: core.configuration.Configuration | undefined,
  after: core.configuration.Configuration,
): Promise<Confirmation> {
  difference.describe(difference.compare(before, after)).forEach(input.say);
  if (input.isAssumedYes) return neverthrow.ok('agreed');
  return judge(await input.ask('Put this in force (yes, no) [no]: '));
}

/** Only a clear yes agrees; no line at all means that there is nobody to ask. */
export function judge(line: string | undefined): Confirmation {
  if (line === undefined) {
    return decline('there is no terminal to ask at; nothing was changed (--yes agrees beforehand)');
  }
  const isAgreed = ['y', 'yes'].includes(line.trim().toLowerCase());
  return isAgreed ? neverthrow.ok('agreed') : decline('nothing was changed');
}

function decline(detail: string): Confirmation {
  return neverthrow.err(core.results.failure('declined', detail));
}
