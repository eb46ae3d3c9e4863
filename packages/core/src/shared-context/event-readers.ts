/**
 * Chooses the instances that read the events of a context store. A store accepts few event calls at
 * once, so in a large deployment some instances read and relay the changes to the others.
 */
import * as rendezvous from '../membership/rendezvous.js';

export type Store = { name: string; maxReaders: number };

/** The rest is for instances with a different view of the members, and for calls of processes that just ended. */
const READER_SHARE = 0.8;
/** Readers that relay each change to one instance; one of them may have just failed. */
const RELAYS_PER_INSTANCE = 2;

export function chooseReaders(
  { name, maxReaders }: Store,
  members: readonly string[],
): readonly string[] {
  const count = Math.max(1, Math.floor(maxReaders * READER_SHARE));
  return members.length <= count ? members : rendezvous.selectTop(name, members, count);
}

/** Instances to which a reader relays the events of a store; none if it does not read the store. */
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
