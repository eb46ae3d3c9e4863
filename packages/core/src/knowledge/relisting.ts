/** What a reader passes on when it has listed a kind once more. */
import type * as platform from '../messages/platform.js';
import * as significant from './significant.js';
import * as versions from './versions.js';
import type * as watches from './watches.js';

/**
 * A listing that follows a complete one of the same era, as when the platform dropped the history behind a
 * watch, is passed on as what it changes. Followers would otherwise have to list the kind as well.
 */
export function changesOf(
  { isRelayed }: watches.State,
  { kind: objectKind, pace, known, changedAt: since, reached }: watches.Watch,
  found: readonly platform.StoredObject[],
  revision: number,
): { changedAt: number; commands: readonly watches.Command[] } {
  const isContinued = since > 0 && versions.eraOf(since) === versions.eraOf(revision);
  if (!isContinued) return { changedAt: revision, commands: [] };
  const { objects, removed } = significant.differences(pace, known, found, reached);
  if (objects.length + removed.length === 0) return { changedAt: since, commands: [] };
  const changes = { objectKind, since, revision, objects, removed };
  const isShared = pace.relaysContent && !isRelayed;
  return { changedAt: revision, commands: isShared ? [{ kind: 'share-changes', changes }] : [] };
}
