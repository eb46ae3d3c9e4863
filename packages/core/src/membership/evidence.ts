/**
 * What speaks for an instance besides the platform's lagging list: its own heartbeats, or those of a
 * relay that vouches for it. A relay hears its data centre and the relays of the others; every other
 * instance hears its relays.
 */
import type * as messages from '../messages/index.js';
import type * as state from './state.js';

/** An instance that was heard within this time is alive, whatever the list says. */
export const HEARTBEAT_TIMEOUT_MS = 6_000;

function isFresh(heard: state.ReceivedHeartbeat | undefined, nowMs: number): boolean {
  return heard !== undefined && nowMs - heard.atMs <= HEARTBEAT_TIMEOUT_MS;
}

/** Fresh heartbeats of each data centre. */
type HeartbeatsByDataCentre = ReadonlyMap<string, readonly state.ReceivedHeartbeat[]>;

/** What is known of each listed instance but this one. */
export function membersOf(given: state.State, nowMs: number): readonly messages.Member[] {
  const vouchers = freshHeartbeats(given, nowMs);
  return given.listed
    .filter(({ name }) => name !== given.ownName)
    .map((listed) => ({ ...listed, evidence: evidenceOf(given, listed, vouchers, nowMs) }));
}

function freshHeartbeats({ listed, heard }: state.State, nowMs: number): HeartbeatsByDataCentre {
  const vouchers = new Map<string, state.ReceivedHeartbeat[]>();
  listed.forEach(({ name, dataCentre }) => {
    const found = heard.get(name);
    if (!found || !isFresh(found, nowMs)) return;
    const others = vouchers.get(dataCentre);
    if (others) others.push(found);
    else vouchers.set(dataCentre, [found]);
  });
  return vouchers;
}

function evidenceOf(
  given: state.State,
  { name, dataCentre }: messages.ListedInstance,
  vouchers: HeartbeatsByDataCentre,
  nowMs: number,
): messages.Evidence {
  const own = given.heard.get(name);
  if (isFresh(own, nowMs)) return 'heard';
  if (nowMs < given.graceUntilMs) return 'listed';
  const isNear = dataCentre === given.ownDataCentre;
  if (given.isRelay) {
    return isNear ? 'silent' : indirectEvidence(vouchers.get(dataCentre), name, dataCentre);
  }
  const near = vouchers.get(given.ownDataCentre);
  if (!near) return isNear && own ? 'silent' : 'listed';
  return indirectEvidence(near, name, dataCentre);
}

/** One voucher that hears the instance is enough; none at all means that nothing is heard. */
function indirectEvidence(
  vouchers: readonly state.ReceivedHeartbeat[] | undefined,
  name: string,
  dataCentre: string,
): messages.Evidence {
  const isVouched = vouchers?.some(({ silent, cut }) => !silent.has(name) && !cut.has(dataCentre));
  return isVouched ? 'heard' : 'silent';
}
