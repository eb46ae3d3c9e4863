/**
 * The platform objects that store the configuration. The head is small: the current generation, the
 * latest changes, and the key of a base, which is an immutable object with a whole configuration.
 * The changes in the head reach back at least to its base. Each base has the key of the previous
 * one and the changes in between, so that the chain of bases is the history.
 */
import * as zod from 'zod';

import * as changes from './changes.js';
import * as schema from './schema.js';

/** Key of the head. A change is accepted by the conditional update of this object. */
export const HEAD_KEY = 'configuration/head';
/** Key prefix of the bases. It differs from the head's key, which is watched as a prefix. */
export const BASE_PREFIX = 'configuration-base/';
/** Number of changes at which a new base is written. */
export const MAX_HEAD_CHANGES = 48;
/** Changes that the head keeps after a new base, so that few instances have to read the base. */
export const KEPT_HEAD_CHANGES = 16;

export const headSchema = zod.strictObject({
  generation: zod.number().int().positive(),
  base: zod.strictObject({ key: zod.string(), generation: zod.number().int().positive() }),
  changes: zod.array(changes.changeSchema).max(MAX_HEAD_CHANGES),
});

export const baseSchema = zod.strictObject({
  /** Key of the previous base; empty for the first. */
  previous: zod.string(),
  /** Changes from the previous base to this one. */
  changes: zod.array(changes.changeSchema),
  configuration: schema.configurationSchema,
});

export type Head = zod.infer<typeof headSchema>;
export type Base = zod.infer<typeof baseSchema>;

/** Writes that accept a change: the base first, if there is one, then the head. */
export type WritePlan = { head: Head; base: { key: string; value: Base } | undefined };

/**
 * `id` is part of the key of a new base, so that concurrent operators never write the same base.
 */
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
