/**
 * Reads the history of the configuration: the changes in the head, then the chain of earlier bases.
 */
import * as core from '@medlarweir/core';
import type * as store from '@medlarweir/platform/store';
import * as neverthrow from 'neverthrow';

import * as change from './change.js';

type Change = core.configuration.Change;
type Configuration = core.configuration.Configuration;
type Client = store.client.Client;
type AsyncResult<Value> = Promise<neverthrow.Result<Value, core.results.Failure>>;

/** Changes, newest first, and the base that the oldest of them follows. */
export type History = { changes: readonly Change[]; base: Configuration };

/** Reads back to the newest base that is not newer than the generation, or to the first base. */
export async function readBackTo(
  platform: Client,
  head: core.configuration.heads.Head,
  generation: number,
): AsyncResult<History> {
  const known = new Map(head.changes.map((each) => [each.generation, each]));
  let { key } = head.base;
  for (;;) {
    const base = await change.readBase(platform, key);
    if (base.isErr()) return neverthrow.err(base.error);
    const { configuration, changes, previous } = base.value;
    if (configuration.generation <= generation || previous === '') {
      return neverthrow.ok({ changes: newestFirst(known), base: configuration });
    }
    changes.forEach((each) => known.set(each.generation, each));
    key = previous;
  }
}

function newestFirst(known: ReadonlyMap<number, Change>): readonly Change[] {
  return [...known.values()].sort((a, b) => b.generation - a.generation);
}

/** Returns the configuration that was active at a generation. */
export function configurationAt(
  { changes, base }: History,
  generation: number,
): neverthrow.Result<Configuration, core.results.Failure> {
  const upTo = changes.filter((each) => each.generation <= generation);
  const later = core.configuration.changesAfter(upTo, base.generation) ?? [];
  const isKnown = base.generation + later.length === generation;
  if (isKnown) return core.configuration.applyChanges(base, later);
  const detail = `generation: expected a generation in the history; found ${generation}`;
  return neverthrow.err(core.results.failure('invalidInput', detail));
}
