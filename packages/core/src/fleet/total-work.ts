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

export type Work = { own: peerWork.InFlightWork; total: peerWork.InFlightWork };

/** Work of this instance and of all, extrapolated from the peers that report to those that do not. */
export function withOwn(state: fleet.State, upstream: upstreams.Upstream): Work {
  const own = peerUpdates.ownWork(upstream);
  const peers = peerUpdates.reportedPeers(state);
  if (peers <= 0) {
    const instances = Math.max(1, state.members.length * UNREPORTED_SHARE);
    return { own, total: peerWork.scale(own, instances) };
  }
  const share = 1 + peerUpdates.unreportedPeers(state) / peers;
  return { own, total: peerWork.sum([own, peerWork.scale(upstream.peerWork, share)]) };
}

/** Work of all instances at an upstream. */
export function of(state: fleet.State, upstream: upstreams.Upstream): peerWork.InFlightWork {
  return withOwn(state, upstream).total;
}
