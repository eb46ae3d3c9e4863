/** Selects the relays of a data centre, as a hint on which instances with the same list agree. */
import type * as messages from '../messages/index.js';
import * as rendezvous from './rendezvous.js';

/** Instances of one data centre that watch the platform and exchange heartbeats with the others. */
export const RELAYS_PER_DATA_CENTRE = 2;

export function selectRelays(dataCentre: string, names: readonly string[]): readonly string[] {
  return rendezvous.selectTop(`relay/${dataCentre}`, names, RELAYS_PER_DATA_CENTRE);
}

/** Names of the instances of a data centre that are listed as live and not silent. */
export function liveNames(
  members: readonly messages.Member[],
  dataCentre: string,
): readonly string[] {
  return members
    .filter((each) => each.dataCentre === dataCentre)
    .filter((each) => each.evidence !== 'silent' && each.state === 'live')
    .map(({ name }) => name);
}
