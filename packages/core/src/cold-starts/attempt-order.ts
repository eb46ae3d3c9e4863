/**
 * Orders the instances' attempts to gain a right. The order only saves calls to the platform. The
 * conditional update alone decides who gains the right, so instances may disagree on the members.
 */
import * as crypto from 'node:crypto';

import type * as messages from '../messages/index.js';

/** Wait of the second instance in the order; it doubles with each later place. */
export const FIRST_WAIT_MS = 2_000;
const MAX_DOUBLINGS = 10;

/** The properties of an instance that the order depends on. */
export type Instance = { name: string; dataCentre: string };

/** Returns instances that may be alive: the list lags, so only silent ones are left out. */
export function listPossiblyAlive(
  own: Instance,
  members: readonly messages.Member[],
): readonly Instance[] {
  const others = members.filter(({ state, evidence }) => state === 'live' && evidence !== 'silent');
  return [own, ...others.map(({ name, dataCentre }) => ({ name, dataCentre }))];
}

/** Returns how many instances precede the own one; the upstream's data centre comes first. */
export function rank(
  own: Instance,
  all: readonly Instance[],
  upstream: string,
  dataCentre: string,
): number {
  const ownHash = rendezvousHash(own, upstream, dataCentre);
  return all.filter((each) => rendezvousHash(each, upstream, dataCentre) > ownHash).length;
}

/** Returns how long an instance of this rank waits before it requests a right from the platform. */
export function waitMs(rankOfOwn: number): number {
  if (rankOfOwn === 0) return 0;
  return FIRST_WAIT_MS * 2 ** Math.min(rankOfOwn - 1, MAX_DOUBLINGS);
}

/** Rendezvous hash, prefixed so that the upstream's data centre ranks before all others. */
function rendezvousHash(instance: Instance, upstream: string, dataCentre: string): string {
  const digest = crypto.createHash('sha256').update(`${upstream}|${instance.name}`).digest('hex');
  return `${instance.dataCentre === dataCentre ? 1 : 0}${digest}`;
}
