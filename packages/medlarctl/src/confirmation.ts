/** Shows the effect of a change and asks the operator to confirm it. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as difference from './difference.js';
import type * as registry from './registry.js';

/** Agreement, or a failure with the reason why nothing was changed. */
export type Decision = neverthrow.Result<'agreed', core.results.Failure>;

export async function request(
  input: Pick<registry.Input, 'ask' | 'printLine' | 'isAssumedYes'>,
  before: core.configuration.Configuration | undefined,
  after: core.configuration.Configuration,
): Promise<Decision> {
  difference.describe(difference.compare(before, after)).forEach(input.printLine);
  if (input.isAssumedYes) return neverthrow.ok('agreed');
  return parseReply(await input.ask('Apply this change (yes, no) [no]: '));
}

/** Only `y` or `yes` agrees. No line means that there is no terminal, which declines. */
export function parseReply(line: string | undefined): Decision {
  if (line === undefined) {
    return decline(
      'there is no terminal to ask at; nothing was changed (--yes confirms in advance)',
    );
  }
  const isAgreed = ['y', 'yes'].includes(line.trim().toLowerCase());
  return isAgreed ? neverthrow.ok('agreed') : decline('nothing was changed');
}

function decline(detail: string): Decision {
  return neverthrow.err(core.results.failure('declined', detail));
}
