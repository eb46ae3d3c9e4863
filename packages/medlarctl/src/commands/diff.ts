/** `medlarctl diff`: shows the differences between two generations of the configuration. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as change from '../change.js';
import * as history from '../history.js';
import * as registry from '../registry.js';

registry.register({
  name: 'diff',
  usage: 'FROM [TO]',
  summary: 'shows what differs between two generations',
  run: showDiff,
});

async function showDiff({ platform, positionals }: registry.Input): registry.Outcome {
  const base = await change.readActive(platform);
  if (base.isErr()) return neverthrow.err(base.error);
  const { head } = base.value;
  const from = Number(positionals[0]);
  const to = Number(positionals[1] ?? head?.generation);
  if (!head || !Number.isInteger(from) || !Number.isInteger(to)) {
    const detail = 'diff: expected FROM [TO], two generations of the history';
    return neverthrow.err(core.results.failure('invalidInput', detail));
  }
  const found = await history.readBackTo(platform, head, Math.min(from, to));
  return found.andThen((all) =>
    history
      .configurationAt(all, from)
      .andThen((before) =>
        history.configurationAt(all, to).map((after) => toOutput(before, after)),
      ),
  );
}

function toOutput(
  before: core.configuration.Configuration,
  after: core.configuration.Configuration,
): registry.Output {
  const edits = core.configuration.diff(before, after).map(core.configuration.describeEdit);
  return { text: edits.join('\n') || 'nothing differs', data: { edits } };
}
