/** Carries out the commands. */
import * as fs from 'node:fs/promises';

import * as core from '@medlarweir/core';
import * as platformHttp from '@medlarweir/plugin-platform-http';
import * as neverthrow from 'neverthrow';

import * as change from './change.js';
import * as command from './command.js';
import * as answers from './questionnaire/answers.js';
import * as generate from './questionnaire/generate.js';

/** What a command prints: text for people and data for scripts. */
export type Report = { text: string; data: unknown };
type Outcome = Promise<neverthrow.Result<Report, core.results.Failure>>;

export async function run(given: command.Command): Outcome {
  switch (given.kind) {
    case 'help':
      return neverthrow.ok({ text: command.HELP, data: { help: command.HELP } });
    case 'questionnaire':
      return withPlatform(given.options, (platform) => questionnaire(platform, given.answersFile));
    case 'apply':
      return withPlatform(given.options, (platform) => applyFile(platform, given.file));
    case 'get':
      return withPlatform(given.options, get);
    case 'data-centre':
      return withPlatform(given.options, (platform) =>
        moveDataCentre(platform, given.name, given.presence),
      );
    default:
      return core.results.never(given);
  }
}

async function withPlatform(
  options: command.Options,
  use: (platform: platformHttp.client.Client) => Outcome,
): Outcome {
  const platform = platformHttp.client.create(options.platform);
  try {
    return await use(platform);
  } finally {
    await platform.close();
  }
}

async function readJson(file: string): Promise<neverthrow.Result<unknown, core.results.Failure>> {
  try {
    return neverthrow.ok(JSON.parse(await fs.readFile(file, 'utf8')) as unknown);
  } catch (error) {
    return neverthrow.err(core.results.failure('invalidInput', `${file}: ${String(error)}`));
  }
}

async function questionnaire(
  platform: platformHttp.client.Client,
  answersFile: string | undefined,
): Outcome {
  if (answersFile === undefined) {
    return neverthrow.err(core.results.failure('invalidInput', '--answers: expected FILE'));
  }
  const given = (await readJson(answersFile)).andThen(answers.parse);
  if (given.isErr()) return neverthrow.err(given.error);
  const base = await change.readInForce(platform);
  if (base.isErr()) return neverthrow.err(base.error);
  const generated = generate.generate(given.value, base.value.configuration);
  if (generated.isErr()) return neverthrow.err(generated.error);
  const { configuration, newCredentials } = generated.value;
  const applied = await change.apply(platform, base.value, configuration);
  return applied.map((generation) => ({
    text: `generation ${generation} is accepted`,
    data: { generation, newCredentials },
  }));
}

async function applyFile(platform: platformHttp.client.Client, file: string): Outcome {
  const found = await readJson(file);
  if (found.isErr()) return neverthrow.err(found.error);
  const base = await change.readInForce(platform);
  if (base.isErr()) return neverthrow.err(base.error);
  const generation = (base.value.configuration?.generation ?? 0) + 1;
  const checked = core.configuration.check({ ...(found.value as object), generation });
  if (checked.isErr()) return neverthrow.err(checked.error);
  return accept(platform, base.value, checked.value);
}

async function get(platform: platformHttp.client.Client): Outcome {
  const base = await change.readInForce(platform);
  return base.map(({ configuration }) => ({
    text: JSON.stringify(configuration ?? null, null, 2),
    data: configuration ?? null,
  }));
}

async function moveDataCentre(
  platform: platformHttp.client.Client,
  name: string,
  presence: core.configuration.Presence,
): Outcome {
  const base = await change.readInForce(platform);
  if (base.isErr()) return neverthrow.err(base.error);
  const { configuration } = base.value;
  if (!configuration?.dataCentres.some((each) => each.name === name)) {
    const detail = `data-centre: expected a configured name; found "${name}"`;
    return neverthrow.err(core.results.failure('invalidInput', detail));
  }
  const dataCentres = configuration.dataCentres.map((each) =>
    each.name === name ? { ...each, presence } : each,
  );
  const generation = configuration.generation + 1;
  return accept(platform, base.value, { ...configuration, generation, dataCentres });
}

async function accept(
  platform: platformHttp.client.Client,
  base: change.InForce,
  configuration: core.configuration.Configuration,
): Outcome {
  const applied = await change.apply(platform, base, configuration);
  return applied.map((generation) => ({
    text: `generation ${generation} is accepted`,
    data: { generation },
  }));
}
