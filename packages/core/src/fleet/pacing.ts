/** This instance's part of what the upstreams of a service do in a ms, for `core/shares/pace`. */
import type * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import * as shares from '../shares/index.js';
import * as speed from '../speed/index.js';
import * as peerUpdates from './peer-updates.js';
import type * as fleet from './state.js';
import type * as upstreams from './upstream.js';

/** Usage of peers is told once a second; with many upstreams the rate costs as much as a placement. */
const RATE_AGE_MS = 1_000;

/** The pace of a service, with a rate that is current. No rate is set before speeds have been measured. */
export function paceOf(
  state: fleet.State,
  service: routes.Service,
  now: task.Instant,
): shares.Pace {
  const { paces } = state.ledger;
  const known = paces.get(service.name);
  const pace = known ?? { allowance: 0, perMs: 0, atMs: now.monotonicMs, ratedAtMs: -Infinity };
  if (!known) paces.set(service.name, pace);
  const ageMs = now.monotonicMs - pace.ratedAtMs;
  if (ageMs >= 0 && ageMs < RATE_AGE_MS) return pace;
  const capacity = [...state.registry.upstreams.values()]
    .filter((each) => each.registration.service === service.name && isInUse(each))
    .reduce((sum, each) => sum + perMsOf(state, service, each, now), 0);
  shares.pace.setRate(pace, capacity * ownShare(state, service.name, now), now);
  return Object.assign(pace, { ratedAtMs: now.monotonicMs });
}

function isInUse({ registrationState, reachability }: upstreams.Upstream): boolean {
  return registrationState.kind === 'listed' && reachability.kind === 'answers';
}

/** Work that an upstream does in a ms: tokens that it reads, or the requests that it serves at once. */
function perMsOf(
  state: fleet.State,
  service: routes.Service,
  upstream: upstreams.Upstream,
  now: task.Instant,
): number {
  if (!service.engine) return Math.max(1, upstream.registration.slots);
  const { tokensPerMs, errorShare } = speed.readingRate(state, service.name, upstream, now);
  return errorShare < 1 ? tokensPerMs : 0;
}

/** Share of the demand of all instances that comes here; those that tell nothing are taken to be as the others. */
function ownShare(state: fleet.State, service: string, now: task.Instant): number {
  const { ownDemand, demand } = shares.ledger.viewOf(state.ledger, service, now);
  const reported = 1 + peerUpdates.reportedPeers(state);
  const all = demand * Math.max(1, state.members.length / reported);
  return all > 0 ? Math.min(1, ownDemand / all) : 1 / Math.max(1, state.members.length);
}
