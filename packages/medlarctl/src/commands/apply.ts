/** `medlarctl apply`: puts a whole configuration in force. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as change from '../change.js';
import * as files from '../files.js';
import * as registry from '../registry.js';

registry.register({
  name: 'apply',
  usage: 'FILE',
  summary: 'puts a whole configuration in force',
  run: applyFile,
});

async function applyFile({ platform, words, flags }: registry.Input): registry.Outcome {
  const [file] = words;
  if (file === undefined) {
    const detail = 'apply: expected FILE; found nothing';
    return neverthrow.err(core.results.failure('invalidInput', detail));
  }
  const found = await files.readJson(file);
  if (found.isErr()) return neverthrow.err(found.error);
  const base = await change.readInForce(platform);
  if (base.isErr()) return neverthrow.err(base.error);
  const generation = (base.value.configuration?.generation ?? 0) + 1;
  const checked = core.configuration.check({ ...(found.value as object), generation });
  if (checked.isErr()) return neverthrow.err(checked.error);
  return change.accept(platform, base.value, checked.value, change.reasonOf(flags));
}
