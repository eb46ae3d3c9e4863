/** Changes of the configuration in force: a conditional update whose end is always known truthfully. */
import * as crypto from 'node:crypto';

import * as core from '@medlarweir/core';
import * as platformHttp from '@medlarweir/plugin-platform-http';
import * as neverthrow from 'neverthrow';

import type * as registry from './registry.js';

/** What is in force, and the version of the object that holds it. */
export type InForce = {
  version: number;
  configuration: core.configuration.Configuration | undefined;
};

type Outcome<Value> = Promise<neverthrow.Result<Value, core.results.Failure>>;

const KEY = core.configuration.CONFIGURATION_KEY;
const MAX_TRIES = 5;

export async function readInForce(platform: platformHttp.client.Client): Outcome<InForce> {
  const answer = await platform.read(KEY);
  switch (answer.kind) {
    case 'missing':
      return neverthrow.ok({ version: 0, configuration: undefined });
    case 'object': {
      const { version, value } = answer.object;
      return core.configuration.check(value).map((configuration) => ({ version, configuration }));
    }
    case 'unavailable':
      return neverthrow.err(answer.failure);
    case 'objects':
    case 'written':
    case 'conflict':
      return neverthrow.err(core.results.failure('platformMalformed', `answer ${answer.kind}`));
    default:
      return core.results.never(answer);
  }
}

/** Puts a configuration in force on top of the version that it was made from. */
export async function apply(
  platform: platformHttp.client.Client,
  base: InForce,
  configuration: core.configuration.Configuration,
): Outcome<number> {
  const writeId = crypto.randomUUID();
  const write = { key: KEY, expectedVersion: base.version, value: configuration, writeId };
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const answer = await platform.write(write);
    if (answer.kind === 'written') return neverthrow.ok(configuration.generation);
    if (answer.kind === 'conflict') return judgeConflict(answer.current, writeId, configuration);
  }
  const detail = `no answer after ${MAX_TRIES} tries; the change may yet take effect: see \`get\``;
  return neverthrow.err(core.results.failure('platformUnavailable', detail));
}

/** The own write id in the object means that an earlier try succeeded and its answer was lost. */
function judgeConflict(
  current: core.messages.StoredObject | undefined,
  writeId: string,
  configuration: core.configuration.Configuration,
): neverthrow.Result<number, core.results.Failure> {
  if (current?.writeId === writeId) return neverthrow.ok(configuration.generation);
  const detail = `the configuration is now at version ${current?.version ?? 0}`;
  return neverthrow.err(core.results.failure('conflict', detail));
}

/** Applies a configuration and reports it. */
export async function accept(
  platform: platformHttp.client.Client,
  base: InForce,
  configuration: core.configuration.Configuration,
): Outcome<registry.Report> {
  const applied = await apply(platform, base, configuration);
  return applied.map((generation) => ({
    text: `generation ${generation} is accepted`,
    data: { generation },
  }));
}
