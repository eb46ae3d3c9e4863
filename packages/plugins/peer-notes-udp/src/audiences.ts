/** Which members an update is sent to. */
import * as core from '@medlarweir/core';

type Members = readonly core.messages.PeerEndpoint[];

/** Limits the traffic to 10 KB/s, at four updates of 150 bytes per second to each receiver. */
const MAX_RECEIVERS = 16;
/** Receivers of one repetition of news about quarantined parts. */
const SOME_RECEIVERS = 3;

/** Without a reader, own work goes to all members; if they are too many, to those nearby first. */
export function ofWork(
  { members, audiences }: { members: Members; audiences: core.messages.Audiences },
  name: string,
  dataCentre: string,
  scope: core.fleet.peerWork.Scope,
): readonly string[] {
  const named = audiences[scope];
  if (named.length > 0 || scope !== 'own') return named;
  const others = members.filter((each) => each.name !== name);
  const local = others.filter((each) => each.dataCentre === dataCentre);
  const remote = others.filter((each) => each.dataCentre !== dataCentre);
  const ranked = core.membership.rank(
    name,
    remote.map((each) => each.name),
  );
  return [...local.map((each) => each.name), ...ranked].slice(0, MAX_RECEIVERS);
}

/** `rounds`: repetitions so far; each goes to the next members in an order of the sender's own. */
export function ofQuarantine(
  { members, rounds }: { members: Members; rounds: number },
  name: string,
  audience: core.quarantine.Audience,
): readonly string[] {
  const listening = members
    .filter((each) => each.name !== name && each.notes !== undefined)
    .map((each) => each.name);
  if (audience === 'all' || listening.length <= SOME_RECEIVERS) return listening;
  const ranked = core.membership.rank(name, listening);
  return Array.from(
    { length: SOME_RECEIVERS },
    (_, at) => ranked[(rounds * SOME_RECEIVERS + at) % ranked.length] ?? '',
  );
}
