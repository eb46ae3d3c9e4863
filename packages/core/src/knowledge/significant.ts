/**
 * Selects the changes that matter. Some objects are written again about once a second, mostly to show
 * that their writer lives; the platform itself removes the entry of one that does not.
 */
import * as zod from 'zod';

import type * as platform from '../messages/platform.js';

/** The significant content of each object as text, by key; empty texts for kinds without a heartbeat. */
export type Known = ReadonlyMap<string, string>;

const anObject = zod.record(zod.string(), zod.unknown());

export function ofSnapshot(
  { heartbeatField }: platform.WatchPacing,
  objects: readonly platform.StoredObject[],
): Known {
  return new Map(objects.map(({ key, value }) => [key, significantText(value, heartbeatField)]));
}

/** What a complete listing changes of what was known, given the revision that had been reached. */
export function differences(
  { heartbeatField }: platform.WatchPacing,
  before: Known,
  listed: readonly platform.StoredObject[],
  reached: number,
): { objects: readonly platform.StoredObject[]; removed: readonly string[] } {
  const keys = new Set(listed.map(({ key }) => key));
  return {
    objects: listed.filter(
      ({ key, value, version }) =>
        version > reached &&
        (heartbeatField === undefined ||
          before.get(key) !== significantText(value, heartbeatField)),
    ),
    removed: [...before.keys()].filter((key) => !keys.has(key)),
  };
}

export function select(
  { heartbeatField }: platform.WatchPacing,
  before: Known,
  objects: readonly platform.StoredObject[],
  removed: readonly string[],
): { objects: readonly platform.StoredObject[]; known: Known } {
  const known = new Map(before);
  removed.forEach((key) => known.delete(key));
  const changed = objects.filter(({ key, value }) => {
    const text = significantText(value, heartbeatField);
    const isChanged = heartbeatField === undefined || known.get(key) !== text;
    known.set(key, text);
    return isChanged;
  });
  return { objects: changed, known };
}

function significantText(value: unknown, heartbeatField: string | undefined): string {
  if (heartbeatField === undefined) return '';
  const entry = anObject.safeParse(value);
  if (!entry.success) return JSON.stringify(value) ?? '';
  const { [heartbeatField]: heartbeat, ...content } = entry.data;
  return JSON.stringify(content);
}
