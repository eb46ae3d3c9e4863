/** `medlarctl questionnaire`: from a new team's answers to a configuration in force. */
import * as core from '@medlarweir/core';
import * as neverthrow from 'neverthrow';

import * as change from '../change.js';
import * as files from '../files.js';
import * as answers from '../questionnaire/answers.js';
import * as generate from '../questionnaire/generate.js';
import * as registry from '../registry.js';

registry.register({
  name: 'questionnaire',
  usage: '[--answers FILE]',
  summary: 'asks a new team’s questions and puts the answers in force',
  flags: { answers: { type: 'string' } },
  run: questionnaire,
});

async function questionnaire({ platform, flags }: registry.Input): registry.Outcome {
  if (typeof flags.answers !== 'string') {
    return neverthrow.err(core.results.failure('invalidInput', '--answers: expected FILE'));
  }
  const given = (await files.readJson(flags.answers)).andThen(answers.parse);
  if (given.isErr()) return neverthrow.err(given.error);
  const base = await change.readInForce(platform);
  if (base.isErr()) return neverthrow.err(base.error);
  const generated = generate.generate(given.value, base.value.configuration);
  if (generated.isErr()) return neverthrow.err(generated.error);
  const { configuration, newCredentials } = generated.value;
  const applied = await change.apply(platform, base.value, configuration, change.reasonOf(flags));
  return applied.map((generation) => ({
    text: `generation ${generation} is accepted`,
    data: { generation, newCredentials },
  }));
}
