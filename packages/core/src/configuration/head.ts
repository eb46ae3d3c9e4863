/**
 * The platform's objects of the configuration. The head is small: the generation in force, the
 * latest changes, and the name of a base, which holds a whole configuration and never changes. The
 * changes of the head reach back at least to its base. A base names the one before it and the
 * changes in between, so that the chain of bases is the history.
 */
import * as zod from 'zod';

import * as changes from './changes.js';
import * as schema from './schema.js';

/** The one object whose conditional update accepts a change. */
export const HEAD_KEY = 'configuration/head';
/** Prefix of the bases; kept apart from the head's key, which is watched as a prefix. */
export const BASE_PREFIX = 'configuration-base/';
/** With this many changes a new base is written. */
export const MAX_HEAD_CHANGES = 48;
/** Changes that stay in the head behind a new base, so that few instances have to read the base. */
export const KEPT_HEAD_CHANGES = 16;

export const headSchema = zod.strictObject({
  generation: zod.number().int().positive(),
  base: zod.strictObject({ key: zod.string(), generation: zod.number().int().positive() }),
  changes: zod.array(changes.changeSchema).max(MAX_HEAD_CHANGES),
});

export const baseSchema = zod.strictObject({
  /** Key of the base before this one; empty for the first. */
  previous: zod.string(),
  /** Changes from the base before this one to this one. */
  changes: zod.array(changes.changeSchema),
  configuration: schema.configurationSchema,
});

export type Head = zod.infer<typeof headSchema>;
export type Base = zod.infer<typeof baseSchema>;

/** What has to be written to accept a change: a base first if there is one, then the head. */
export type WritePlan = { head: Head; base: { key: string; value: Base } | undefined };

/** `id` names the base, so that two operators who race never write the same one. */
export function planWrites(
  before: Head | undefined,
  change: changes.Change,
  configuration: schema.Configuration,
  id: string,
): WritePlan {
  const all = [...(before?.changes ?? []), change];
  const { generation } = configuration;
  if (before && all.length < MAX_HEAD_CHANGES) {
    return { head: { ...before, generation, changes: all }, base: undefined };
  }
  const key = `${BASE_PREFIX}${generation}-${id}`;
  const since = all.filter((each) => each.generation > (before?.base.generation ?? 0));
  return {
    head: { generation, base: { key, generation }, changes: all.slice(-KEPT_HEAD_CHANGES) },
    base: { key, value: { previous: before?.base.key ?? '', changes: since, configuration } },
  };
}
