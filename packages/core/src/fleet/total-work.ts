/** Sums up the work of all instances at an upstream. */
import * as peerUpdates from './peer-updates.js';
import * as peerWork from './peer-work.js';
import type * as fleet from './state.js';
import type * as upstreams from './upstream.js';

/**
 * Without any peer updates, all members are assumed to choose as this instance does, and this share of
 * the resulting work is counted. With a lower share, all instances rush to an upstream that has just
 * become free.
 */
const UNREPORTED_SHARE = 0.7;

/** Work of all instances at an upstream, extrapolated from the peers that report to those that do not. */
export function of(state: fleet.State, upstream: upstreams.Upstream): peerWork.InFlightWork {
  const own = peerUpdates.ownWork(upstream);
  const peers = peerUpdates.reportedPeers(state);
  if (peers <= 0) return peerWork.scale(own, Math.max(1, state.members.length * UNREPORTED_SHARE));
  const share = 1 + peerUpdates.unreportedPeers(state) / peers;
  return peerWork.sum([own, peerWork.scale(upstream.peerWork, share)]);
}
