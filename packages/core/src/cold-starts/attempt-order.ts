/**
 * In which order instances try for a right. Order saves calls to the platform and decides nothing:
 * the conditional update alone does, so instances may disagree on the members.
 */
import * as crypto from 'node:crypto';

import type * as messages from '../messages/index.js';

/** How long the second in the order waits; each one behind waits twice as long as the one before. */
export const FIRST_WAIT_MS = 2_000;
const MAX_DOUBLINGS = 10;

/** An instance, as far as the order needs it. */
export type Instance = { name: string; dataCentre: string };

/** Instances that may be alive: the list lags, so only silence counts against one. */
export function listPossiblyAlive(
  own: Instance,
  members: readonly messages.Member[],
): readonly Instance[] {
  const others = members.filter(({ state, evidence }) => state === 'live' && evidence !== 'silent');
  return [own, ...others.map(({ name, dataCentre }) => ({ name, dataCentre }))];
}

/** How many contenders go before the own instance: those of the upstream's data centre go first. */
export function rank(
  own: Instance,
  all: readonly Instance[],
  upstream: string,
  dataCentre: string,
): number {
  const mine = rendezvousHash(own, upstream, dataCentre);
  return all.filter((each) => rendezvousHash(each, upstream, dataCentre) > mine).length;
}

/** How long an instance waits before it asks the platform for a right. */
export function waitMs(rankOfOwn: number): number {
  if (rankOfOwn === 0) return 0;
  return FIRST_WAIT_MS * 2 ** Math.min(rankOfOwn - 1, MAX_DOUBLINGS);
}

/** Rendezvous hash, with the upstream's data centre before all others. */
function rendezvousHash(contender: Instance, upstream: string, dataCentre: string): string {
  const digest = crypto.createHash('sha256').update(`${upstream}|${contender.name}`).digest('hex');
  return `${contender.dataCentre === dataCentre ? 1 : 0}${digest}`;
}
