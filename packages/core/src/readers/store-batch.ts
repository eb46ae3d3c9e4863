/** Gathers updates of context stores between two ticks, and splits them into datagrams. */
import type * as peerUpdates from '../messages/peer-updates.js';
import type * as inventory from '../shared-context/inventory.js';

export type Batch = ReadonlyMap<string, inventory.RelayedUpdate>;

/** Size of one datagram in changes of about 20 bytes, so that it is not fragmented on its way. */
const MAX_CHANGES_PER_UPDATE = 45;
/** Size of a store's name, epoch, clock and salt, in changes. */
const STORE_OVERHEAD_CHANGES = 4;

/** A listing is not passed on: followers have followed the events that led to it. */
export function add(batch: Batch, store: string, update: inventory.StoreUpdate): Batch {
  if (update.kind === 'listing') return batch;
  return new Map(batch).set(store, merge(batch.get(store), update));
}

function merge(
  before: inventory.RelayedUpdate | undefined,
  update: inventory.RelayedUpdate,
): inventory.RelayedUpdate {
  if (before?.kind !== 'changes' || update.kind !== 'changes') return update;
  if (before.epoch !== update.epoch) return update;
  return { ...update, changes: [...before.changes, ...update.changes] };
}

export function split(batch: Batch): readonly peerUpdates.StoreUpdates[] {
  const pieces = [...batch].flatMap(([store, update]) =>
    splitUpdate(update).map((piece) => ({ store, update: piece })),
  );
  const initial: { groups: peerUpdates.StoreUpdates[]; room: number } = { groups: [], room: 0 };
  const { groups } = pieces.reduce(({ groups: before, room }, piece) => {
    const size = sizeOf(piece.update);
    const last = before.at(-1);
    return last && size <= room
      ? { groups: [...before.slice(0, -1), [...last, piece]], room: room - size }
      : { groups: [...before, [piece]], room: MAX_CHANGES_PER_UPDATE - size };
  }, initial);
  return groups;
}

/** An update without changes takes room too: it shows that the store responds. */
function sizeOf(update: inventory.RelayedUpdate): number {
  return STORE_OVERHEAD_CHANGES + (update.kind === 'changes' ? update.changes.length : 0);
}

function splitUpdate(update: inventory.RelayedUpdate): readonly inventory.RelayedUpdate[] {
  if (update.kind === 'unreachable' || sizeOf(update) <= MAX_CHANGES_PER_UPDATE) {
    return [update];
  }
  const size = MAX_CHANGES_PER_UPDATE - STORE_OVERHEAD_CHANGES;
  return Array.from({ length: Math.ceil(update.changes.length / size) }, (_, at) => ({
    ...update,
    changes: update.changes.slice(at * size, (at + 1) * size),
  }));
}
