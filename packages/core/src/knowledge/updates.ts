/** Applies the updates of a watched kind of objects and builds the update for each subscriber. */
import type * as platform from '../messages/platform.js';
import * as keys from './keys.js';
import type * as watches from './watches.js';

type Update = Pick<platform.PlatformWatchUpdated, 'objects' | 'removed' | 'isSnapshot'>;

/** Whether the update may change the known objects; an empty one only confirms them. */
export function hasChanges({ objects, removed, isSnapshot }: Update): boolean {
  return isSnapshot || objects.length + removed.length > 0;
}

/** The known values without those that the update ends; the caller adds the update's objects. */
export function withoutRemoved<Value>(
  before: ReadonlyMap<string, Value>,
  { removed, isSnapshot }: Update,
): Map<string, Value> {
  const known = new Map(isSnapshot ? [] : before);
  removed.forEach((key) => known.delete(key));
  return known;
}

/** The known names after an update, sorted. */
export function applyToNames(
  before: readonly string[],
  { objects: found, removed, isSnapshot }: Update,
): readonly string[] {
  const removedNames = new Set(removed.map(keys.nameOf));
  const kept = isSnapshot ? [] : before.filter((name) => !removedNames.has(name));
  return [...new Set([...kept, ...found.map(({ key }) => keys.nameOf(key))])].sort();
}

/** The update for each subscriber, with the keys under its prefix only. */
export function toCommands(
  { kind, subscribers }: watches.Watch,
  update: Pick<
    platform.PlatformWatchUpdated,
    'objects' | 'removed' | 'isSnapshot' | 'isFromCopy' | 'askedAt' | 'unchangedAt'
  >,
): readonly watches.Command[] {
  return subscribers.map((subscriber) => {
    const { prefix } = subscriber;
    const isUnderPrefix = (key: string) => `${kind}/` === prefix || key.startsWith(prefix);
    const message: platform.PlatformWatchUpdated = {
      type: 'platform.watch-updated',
      prefix,
      ...update,
      objects: update.objects.filter(({ key }) => isUnderPrefix(key)),
      removed: update.removed.filter(isUnderPrefix),
    };
    return { kind: 'tell', reader: subscriber, message };
  });
}
