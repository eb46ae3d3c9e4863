/** Describes and parses the command line of `medlarweir`. */
import * as core from '@medlarweir/core';
import type * as neverthrow from 'neverthrow';

export type Invocation = core.binary.Invocation<core.settings.Settings>;

export const program: core.binary.Binary<core.settings.Settings> = {
  name: 'medlarweir',
  summary: 'an entry instance',
  flags: core.settings.entryFlags,
  signals: 'SIGTERM stops as planned: every stream is finished. A second one stops at once.',
  repeatedSignal: 'stops-at-once',
};

export function parse(
  argv: readonly string[],
  environment: Readonly<Record<string, string | undefined>>,
): neverthrow.Result<Invocation, core.results.Failure> {
  return core.binary.parse(program, argv, environment);
}
