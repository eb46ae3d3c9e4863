/** `medlarctl revert`: applies an earlier configuration again, as a new generation. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as change from '../change.js';
import * as confirmation from '../confirmation.js';
import * as history from '../history.js';
import * as registry from '../registry.js';

registry.register({
  name: 'revert',
  usage: 'GENERATION [--by NAME] [--why TEXT]',
  summary: 'puts an earlier configuration in force again, as a new generation',
  flags: { by: { type: 'string' }, why: { type: 'string' } },
  run: revert,
});

async function revert(input: registry.Input): registry.Outcome {
  const { platform, positionals, flags } = input;
  const base = await change.readActive(platform);
  if (base.isErr()) return neverthrow.err(base.error);
  const { head } = base.value;
  const generation = Number(positionals[0]);
  if (!head || !Number.isInteger(generation)) {
    const detail = 'revert: expected GENERATION, one of the history';
    return neverthrow.err(core.results.failure('invalidInput', detail));
  }
  const found = await history.readBackTo(platform, head, generation);
  const earlier = found.andThen((all) => history.configurationAt(all, generation));
  if (earlier.isErr()) return neverthrow.err(earlier.error);
  const { by, why } = change.attributionFrom(flags);
  const reason = { by, why: why || `revert to generation ${generation}` };
  const next = { ...earlier.value, generation: head.generation + 1 };
  const confirmed = await confirmation.request(input, base.value.configuration, next);
  if (confirmed.isErr()) return neverthrow.err(confirmed.error);
  return change.applyAndReport(platform, base.value, next, reason);
}
