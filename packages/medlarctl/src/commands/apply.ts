/** `medlarctl apply`: replaces the active configuration with the one in a file. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as change from '../change.js';
import * as confirmation from '../confirmation.js';
import * as files from '../files.js';
import * as registry from '../registry.js';

registry.register({
  name: 'apply',
  usage: 'FILE',
  summary: 'puts a whole configuration in force',
  run: applyFile,
});

async function applyFile(input: registry.Input): registry.Outcome {
  const { platform, positionals, flags } = input;
  const [file] = positionals;
  if (file === undefined) {
    const detail = 'apply: expected FILE; found nothing';
    return neverthrow.err(core.results.failure('wrongUse', detail));
  }
  const found = await files.readJson(file);
  if (found.isErr()) return neverthrow.err(found.error);
  const base = await change.readActive(platform);
  if (base.isErr()) return neverthrow.err(base.error);
  const { configuration: current } = base.value;
  const generation = (current?.generation ?? 0) + 1;
  const checked = core.configuration.validate(withGeneration(found.value, generation));
  if (checked.isErr()) return neverthrow.err(checked.error);
  const confirmed = await confirmation.request(input, current, checked.value);
  if (confirmed.isErr()) return neverthrow.err(confirmed.error);
  return change.applyAndReport(platform, base.value, checked.value, change.attributionFrom(flags));
}

/** Leaves a value that is not an object unchanged, so that validation reports what was found. */
function withGeneration(found: unknown, generation: number): unknown {
  const isObject = typeof found === 'object' && found !== null && !Array.isArray(found);
  return isObject ? { ...found, generation } : found;
}
