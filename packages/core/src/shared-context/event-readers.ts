/**
 * Who follows the events of a context store. A store holds few such calls at once, so in a large
 * deployment some instances read and tell the others what changed.
 */
import * as rendezvous from '../membership/rendezvous.js';

/** A store, as far as it matters who reads it. */
export type Store = { name: string; maxReaders: number };

/** The rest is for instances that see other members, and for calls of lives that have just ended. */
const READER_SHARE = 0.8;
/** Readers that tell one instance of the same change: one of them may have just died. */
const RELAYS_PER_INSTANCE = 2;

export function chooseReaders(
  { name, maxReaders }: Store,
  members: readonly string[],
): readonly string[] {
  const count = Math.max(1, Math.floor(maxReaders * READER_SHARE));
  return members.length <= count ? members : rendezvous.selectTop(name, members, count);
}

/** The instances that a reader tells of one store; none for an instance that does not read it. */
export function relayTargets(
  reader: string,
  store: Store,
  members: readonly string[],
): readonly string[] {
  const readers = chooseReaders(store, members);
  if (!readers.includes(reader)) return [];
  return members.filter(
    (name) =>
      !readers.includes(name) &&
      rendezvous.selectTop(`${store.name}/${name}`, readers, RELAYS_PER_INSTANCE).includes(reader),
  );
}
