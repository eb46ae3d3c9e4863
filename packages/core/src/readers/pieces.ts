/**
 * Splits changes into pieces that fit into datagrams. Objects carry the revision of their last change,
 * so each piece covers the revisions up to its newest object, and one that misses a piece notices.
 * Removals carry none, so they are in each piece: wherever an instance stands, it applies them with the
 * first piece that it has not passed.
 */
import type * as messages from '../messages/readers.js';

/** Entries of upstreams have about 250 bytes. */
const MAX_OBJECTS_PER_PIECE = 4;

export function split(changes: messages.WatchChanges): readonly messages.WatchChanges[] {
  const { objectKind, since, revision, objects, removed } = changes;
  const sorted = [...objects].sort((a, b) => a.version - b.version);
  const count = Math.max(1, Math.ceil(sorted.length / MAX_OBJECTS_PER_PIECE));
  const pieces = Array.from({ length: count }, (_, at) =>
    sorted.slice(at * MAX_OBJECTS_PER_PIECE, (at + 1) * MAX_OBJECTS_PER_PIECE),
  );
  const endOf = (at: number) =>
    at === count - 1 ? revision : Math.max(since, pieces[at]?.at(-1)?.version ?? since);
  return pieces.map((each, at) => ({
    objectKind,
    since: at === 0 ? since : endOf(at - 1),
    revision: endOf(at),
    objects: each,
    removed,
  }));
}
