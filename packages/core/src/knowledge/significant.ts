/**
 * Selects the changes that matter. Some objects are written again about once a second, mostly to show
 * that their writer lives; the platform itself removes the entry of one that does not.
 */
import * as zod from 'zod';

import type * as platform from '../messages/platform.js';

/** The significant content of each object as text, by key. */
export type Known = ReadonlyMap<string, string>;

const anObject = zod.record(zod.string(), zod.unknown());

export function ofSnapshot(
  { heartbeatField }: platform.WatchPacing,
  objects: readonly platform.StoredObject[],
): Known {
  if (heartbeatField === undefined) return new Map();
  return new Map(objects.map(({ key, value }) => [key, significantText(value, heartbeatField)]));
}

export function select(
  { heartbeatField }: platform.WatchPacing,
  before: Known,
  objects: readonly platform.StoredObject[],
  removed: readonly string[],
): { objects: readonly platform.StoredObject[]; known: Known } {
  if (heartbeatField === undefined) return { objects, known: before };
  const known = new Map(before);
  removed.forEach((key) => known.delete(key));
  const changed = objects.filter(({ key, value }) => {
    const text = significantText(value, heartbeatField);
    const isChanged = known.get(key) !== text;
    known.set(key, text);
    return isChanged;
  });
  return { objects: changed, known };
}

function significantText(value: unknown, heartbeatField: string): string {
  const entry = anObject.safeParse(value);
  if (!entry.success) return JSON.stringify(value) ?? '';
  const { [heartbeatField]: heartbeat, ...content } = entry.data;
  return JSON.stringify(content);
}
