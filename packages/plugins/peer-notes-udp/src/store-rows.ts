/** Rows of context stores' updates in a datagram, with each salt written once. */
import type * as core from '@medlarweir/core';

import * as schemas from './schemas.js';

type PartChange = core.sharedContext.inventory.PartChange;
type RelayedUpdate = core.sharedContext.inventory.RelayedUpdate;

export function toRows(updates: core.messages.StoreUpdates): schemas.StoreTuple[] {
  return updates.map(({ store, update }): schemas.StoreTuple => {
    if (update.kind === 'unreachable') return [store, null, null, []];
    return [store, update.epoch, update.clockMs ?? null, bySalt(update.changes)];
  });
}

/** Keeps the order of changes under one salt; those of different salts do not affect each other. */
function bySalt(changes: readonly PartChange[]): StoreTupleChanges {
  const rows = new Map<string, [string, number][]>();
  changes.forEach((change) => {
    const tokens = change.kind === 'complete' ? change.tokens : schemas.GONE_TOKENS;
    const known = rows.get(change.salt) ?? [];
    known.push([change.id, tokens]);
    rows.set(change.salt, known);
  });
  return [...rows];
}

type StoreTupleChanges = schemas.StoreTuple[3];

export function fromRows(rows: readonly schemas.StoreTuple[]): core.messages.StoreUpdates {
  return rows.map(([store, epoch, clockMs, changeRows]) => ({
    store,
    update: toUpdate(epoch, clockMs, changeRows),
  }));
}

function toUpdate(
  epoch: number | null,
  clockMs: number | null,
  changeRows: StoreTupleChanges,
): RelayedUpdate {
  if (epoch === null) return { kind: 'unreachable' };
  const changes = changeRows.flatMap(([salt, parts]) =>
    parts.map(([id, tokens]): PartChange =>
      tokens === schemas.GONE_TOKENS
        ? { kind: 'gone', salt, id }
        : { kind: 'complete', salt, id, tokens },
    ),
  );
  return { kind: 'changes', epoch, clockMs: clockMs ?? undefined, changes };
}
