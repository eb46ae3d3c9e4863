/**
 * Reads and changes the active configuration. A change is a conditional update whose reported result
 * is always true: accepted, conflict, or unknown.
 */
import * as crypto from 'node:crypto';
import * as os from 'node:os';

import * as core from '@medlarweir/core';
import type * as store from '@medlarweir/platform/store';
import * as neverthrow from 'neverthrow';

import type * as registry from './registry.js';

type Client = store.client.Client;
type Configuration = core.configuration.Configuration;

/** The active configuration, and the object version of the head that refers to it. */
export type ActiveConfiguration = {
  version: number;
  configuration: Configuration | undefined;
  head?: core.configuration.heads.Head | undefined;
};

/** Who changes the configuration, and why; stored in the history. */
export type Attribution = { by: string; why: string };

type AsyncResult<Value> = Promise<neverthrow.Result<Value, core.results.Failure>>;

const { heads } = core.configuration;
const MAX_WRITE_ATTEMPTS = 5;

/** Reads `--by` and `--why`; `by` defaults to the login name of the operator. */
export function attributionFrom(flags: registry.Flags): Attribution {
  const text = (value: string | boolean | undefined) => (typeof value === 'string' ? value : '');
  return { by: text(flags.by) || os.userInfo().username, why: text(flags.why) };
}

export async function readActive(platform: Client): AsyncResult<ActiveConfiguration> {
  const answer = await platform.read(heads.HEAD_KEY);
  if (answer.kind === 'missing') {
    return neverthrow.ok({ version: 0, configuration: undefined });
  }
  const object = toStoredObject(answer);
  if (object.isErr()) return neverthrow.err(object.error);
  const { version, value } = object.value;
  const head = parse(heads.headSchema, value, heads.HEAD_KEY);
  if (head.isErr()) return neverthrow.err(head.error);
  const configuration = await readConfiguration(platform, head.value);
  return configuration.map((found) => ({ version, configuration: found, head: head.value }));
}

async function readConfiguration(
  platform: Client,
  head: core.configuration.heads.Head,
): AsyncResult<Configuration> {
  const base = await readBase(platform, head.base.key);
  return base.andThen(({ configuration }) => {
    const laterChanges =
      core.configuration.changesAfter(head.changes, configuration.generation) ?? [];
    return core.configuration.applyChanges(configuration, laterChanges);
  });
}

/** Reads a base: a full configuration in the history. */
export async function readBase(
  platform: Client,
  key: string,
): AsyncResult<core.configuration.heads.Base> {
  const object = toStoredObject(await platform.read(key));
  return object.andThen(({ value }) => parse(heads.baseSchema, value, key));
}

function toStoredObject(
  answer: core.messages.PlatformAnswer,
): neverthrow.Result<core.messages.StoredObject, core.results.Failure> {
  switch (answer.kind) {
    case 'object':
      return neverthrow.ok(answer.object);
    case 'unavailable':
      return neverthrow.err(answer.failure);
    case 'missing':
    case 'written':
    case 'conflict':
      return neverthrow.err(core.results.failure('platformMalformed', `answer ${answer.kind}`));
    default:
      return core.results.assertNever(answer);
  }
}

type Schema<Value> = {
  safeParse(
    found: unknown,
  ): { success: true; data: Value } | { success: false; error: { message: string } };
};

function parse<Value>(
  schema: Schema<Value>,
  found: unknown,
  key: string,
): neverthrow.Result<Value, core.results.Failure> {
  const checked = schema.safeParse(found);
  if (checked.success) return neverthrow.ok(checked.data);
  return neverthrow.err(
    core.results.failure('platformMalformed', `${key}: ${checked.error.message}`),
  );
}

/**
 * Writes a configuration as the next generation, if the head is still the one in `base`. Returns the
 * accepted generation.
 */
export async function apply(
  platform: Client,
  base: ActiveConfiguration,
  configuration: Configuration,
  reason: Attribution = attributionFrom({}),
): AsyncResult<number> {
  const { generation } = configuration;
  const edits = base.configuration
    ? core.configuration.diff(base.configuration, configuration)
    : [];
  const id = crypto.randomUUID();
  const change = { id, generation, edits: [...edits], atMs: Date.now(), ...reason };
  const writes = heads.planWrites(base.head, change, configuration, id);
  if (writes.base) {
    const { key, value } = writes.base;
    const written = await writeWithRetries(platform, key, 0, value);
    if (written.isErr()) return neverthrow.err(written.error);
  }
  const accepted = await writeWithRetries(platform, heads.HEAD_KEY, base.version, writes.head, id);
  return accepted.map(() => generation);
}

/**
 * Sends one conditional update, and repeats it under the same write id until its result is known or
 * `MAX_WRITE_ATTEMPTS` is reached.
 */
async function writeWithRetries(
  platform: Client,
  key: string,
  expectedVersion: number,
  value: unknown,
  changeId = '',
): AsyncResult<void> {
  const writeId = crypto.randomUUID();
  for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt += 1) {
    const answer = await platform.write({ key, expectedVersion, value, writeId });
    if (answer.kind === 'written') return neverthrow.ok(undefined);
    if (answer.kind === 'conflict') return resolveConflict(answer.current, writeId, changeId);
  }
  const detail = `no answer after ${MAX_WRITE_ATTEMPTS} attempts; the change may still take effect: see \`history\``;
  return neverthrow.err(core.results.failure('changeUnknown', detail));
}

/**
 * A conflict with the write's own id in the object means that an earlier attempt succeeded and its
 * answer was lost. So does the change's own id in the head, where a later change of another operator
 * already follows it.
 */
function resolveConflict(
  current: core.messages.StoredObject | undefined,
  writeId: string,
  changeId: string,
): neverthrow.Result<void, core.results.Failure> {
  if (current?.writeId === writeId) return neverthrow.ok(undefined);
  const head = heads.headSchema.safeParse(current?.value);
  const isAccepted = head.success && head.data.changes.some(({ id }) => id === changeId);
  if (isAccepted) return neverthrow.ok(undefined);
  return neverthrow.err(core.results.failure('conflict', describeConcurrentChange(current?.value)));
}

/** Describes, to the operator whose change was refused, the change that was accepted before it. */
function describeConcurrentChange(value: unknown): string {
  const head = heads.headSchema.safeParse(value);
  const last = head.success ? head.data.changes.at(-1) : undefined;
  if (!last) return 'another change was accepted first; no part of this change took effect';
  const { generation, by, why, edits } = last;
  const names = edits.map((edit) => `  ${core.configuration.describeEdit(edit)}`);
  return [
    `generation ${generation} by ${by} was accepted first (${why || 'no reason given'}):`,
    ...names,
    'no part of this change took effect; apply it again on top of that generation',
  ].join('\n');
}

/** Applies a configuration and returns the output with its generation. */
export async function applyAndReport(
  platform: Client,
  base: ActiveConfiguration,
  configuration: Configuration,
  reason: Attribution = attributionFrom({}),
): AsyncResult<registry.Output> {
  const applied = await apply(platform, base, configuration, reason);
  return applied.map((generation) => ({
    text: `generation ${generation} is accepted`,
    data: { generation },
  }));
}
