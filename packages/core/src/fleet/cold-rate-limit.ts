/**
 * Limits the rate of requests to a cold upstream. The rate is divided among a few instances chosen by
 * rendezvous hashing, so no coordination is needed. Each of them may be one request ahead of its rate;
 * the bound allows for that.
 */
import type * as routes from '../gateway/routes.js';
import * as rendezvous from '../membership/rendezvous.js';
import type * as fleet from './state.js';
import type * as upstreams from './upstream.js';

/**
 * Share of the senders that the bound allows. Instances may briefly disagree about the members; the rest
 * leaves room for half as many senders again.
 */
const SENDER_HEADROOM = 0.6;

/** Number of instances that may send to one cold upstream. */
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

/** Records one send; the next is allowed after the interval of this instance's share of the rate. */
export function recordSend(
  { members, bounds }: fleet.State,
  service: routes.Service,
  upstream: upstreams.Upstream,
  nowMs: number,
): void {
  const senders = Math.min(Math.max(1, members.length), maxSenders(service, bounds));
  Object.assign(upstream, { nextColdSendAtMs: nowMs + (1_000 * senders) / service.coldPerS });
}
