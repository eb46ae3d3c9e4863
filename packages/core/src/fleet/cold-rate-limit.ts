/**
 * Which instance may send how often to a cold upstream. The rate is divided among a few instances
 * that rendezvous hashing picks, so no call or message is needed; each of them may be one request
 * ahead of its rate, and the bound has room for that.
 */
import type * as routes from '../gateway/routes.js';
import * as rendezvous from '../membership/rendezvous.js';
import type * as fleet from './state.js';
import type * as upstreams from './upstream.js';

/** Instances may disagree about the members for a moment: room for half as many senders again. */
const SENDER_HEADROOM = 0.6;

/** Instances that may send to one cold upstream. */
export function maxSenders({ coldPerS }: routes.Service, bounds: fleet.Bounds): number {
  const room = coldPerS * (bounds.coldOverrun - 1) + bounds.coldSlack;
  return Math.max(1, Math.floor(room * SENDER_HEADROOM));
}

export function isCold({ coldUntilMs }: upstreams.Upstream, nowMs: number): boolean {
  return coldUntilMs > nowMs;
}

/** Whether this instance may send to the cold upstream now. */
export function maySend(
  { instance, members, bounds }: fleet.State,
  service: routes.Service,
  upstream: upstreams.Upstream,
  nowMs: number,
): boolean {
  if (nowMs < upstream.nextColdSendAtMs || members.length === 0) return false;
  const senders = rendezvous.selectTop(
    upstream.registration.id,
    members,
    maxSenders(service, bounds),
  );
  return senders.includes(instance);
}

/** Books one send; the next is due after this instance's part of the rate. */
export function recordSend(
  { members, bounds }: fleet.State,
  service: routes.Service,
  upstream: upstreams.Upstream,
  nowMs: number,
): void {
  const senders = Math.min(Math.max(1, members.length), maxSenders(service, bounds));
  Object.assign(upstream, { nextColdSendAtMs: nowMs + (1_000 * senders) / service.coldPerS });
}
