/**
 * Selects the recipients of an instance's heartbeats. Their number is bounded by the size of its
 * data centre and the number of other data centres.
 */
import type * as messages from '../messages/index.js';
import * as relays from './relays.js';
import type * as state from './state.js';

/** An instance that is not a relay sends heartbeats only to the relays of its data centre. */
export function forNonRelay(ownRelays: readonly string[]): state.HeartbeatTargets {
  return { frequent: [], infrequent: ownRelays };
}

/**
 * A relay sends every tick to its half of the data centre, so that confirmations of the
 * configuration stay fresh there, and infrequently to the other half and to one relay of each other
 * data centre.
 */
export function forRelay(given: state.State, ownRelays: readonly string[]): state.HeartbeatTargets {
  const { members, ownDataCentre, ownName } = given;
  const rank = Math.max(0, ownRelays.indexOf(ownName));
  const near = members
    .filter((each) => each.dataCentre === ownDataCentre && each.state === 'live')
    .map(({ name }) => name);
  const isOwnHalf = (at: number) => ownRelays.length < 2 || at % ownRelays.length === rank;
  return {
    frequent: near.filter((name, at) => isOwnHalf(at)),
    infrequent: [...near.filter((name, at) => !isOwnHalf(at)), ...farRelays(given, rank)],
  };
}

/** One relay of each other data centre: relays of the same rank are paired. */
function farRelays({ members, ownDataCentre }: state.State, rank: number): readonly string[] {
  return [...byDataCentre(members)].flatMap(([dataCentre, all]) => {
    if (dataCentre === ownDataCentre) return [];
    const live = relays.liveNames(all, dataCentre);
    const candidates = live.length > 0 ? live : all.map(({ name }) => name);
    const ranked = relays.selectRelays(dataCentre, candidates);
    const paired = ranked[rank % ranked.length];
    return paired === undefined ? [] : [paired];
  });
}

function byDataCentre(
  members: readonly messages.Member[],
): ReadonlyMap<string, readonly messages.Member[]> {
  const found = new Map<string, messages.Member[]>();
  members.forEach((member) => {
    const others = found.get(member.dataCentre);
    if (others) others.push(member);
    else found.set(member.dataCentre, [member]);
  });
  return found;
}
