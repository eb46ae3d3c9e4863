/**
 * Evidence that an instance is alive, beside the platform's delayed list: its own heartbeats, or
 * those of a relay that does not report it silent. A relay receives heartbeats from its data centre
 * and from the relays of the others; every other instance receives them from its own relays.
 */
import type * as messages from '../messages/index.js';
import type * as state from './state.js';

/** An instance whose last heartbeat is at most this old is alive, whatever the list says. */
export const HEARTBEAT_TIMEOUT_MS = 6_000;

function isFresh(heard: state.ReceivedHeartbeat | undefined, nowMs: number): boolean {
  return heard !== undefined && nowMs - heard.atMs <= HEARTBEAT_TIMEOUT_MS;
}

/** Fresh heartbeats by data centre. */
type HeartbeatsByDataCentre = ReadonlyMap<string, readonly state.ReceivedHeartbeat[]>;

/** All listed instances except this one, each with the evidence for it. */
export function membersOf(given: state.State, nowMs: number): readonly messages.Member[] {
  const reporters = freshByDataCentre(given, nowMs);
  return given.listed
    .filter(({ name }) => name !== given.ownName)
    .map((listed) => ({ ...listed, evidence: evidenceOf(given, listed, reporters, nowMs) }));
}

function freshByDataCentre({ listed, heard }: state.State, nowMs: number): HeartbeatsByDataCentre {
  const reporters = new Map<string, state.ReceivedHeartbeat[]>();
  listed.forEach(({ name, dataCentre }) => {
    const found = heard.get(name);
    if (!found || !isFresh(found, nowMs)) return;
    const others = reporters.get(dataCentre);
    if (others) others.push(found);
    else reporters.set(dataCentre, [found]);
  });
  return reporters;
}

function evidenceOf(
  given: state.State,
  { name, dataCentre }: messages.ListedInstance,
  reporters: HeartbeatsByDataCentre,
  nowMs: number,
): messages.Evidence {
  const own = given.heard.get(name);
  if (isFresh(own, nowMs)) return 'heard';
  if (nowMs < given.graceUntilMs) return 'listed';
  const isNear = dataCentre === given.ownDataCentre;
  if (given.isRelay) {
    return isNear ? 'silent' : indirectEvidence(reporters.get(dataCentre), name, dataCentre);
  }
  const near = reporters.get(given.ownDataCentre);
  if (!near) return isNear && own ? 'silent' : 'listed';
  return indirectEvidence(near, name, dataCentre);
}

/** `heard` if at least one fresh relay does not report the instance; `silent` without any relay. */
function indirectEvidence(
  reporters: readonly state.ReceivedHeartbeat[] | undefined,
  name: string,
  dataCentre: string,
): messages.Evidence {
  const isHeard = reporters?.some(({ silent, cut }) => !silent.has(name) && !cut.has(dataCentre));
  return isHeard ? 'heard' : 'silent';
}
