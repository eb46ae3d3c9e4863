/** Charges the work of attempts to client accounts, for services under predictive load control. */
import type * as routes from '../gateway/routes.js';
import type * as lifecycle from '../gateway/lifecycle-state.js';
import type * as task from '../kernel/task.js';
import * as loadControl from '../load-control/index.js';
import * as results from '../results/index.js';
import * as shares from '../shares/index.js';
import * as pacing from './pacing.js';
import type * as placement from './placement.js';
import type * as fleet from './state.js';
import type * as upstreams from './upstream.js';

/** Assumed service time of plain work before an upstream of its service has answered. */
const UNKNOWN_SERVICE_MS = 50;

/** Expected work of a request: prompt tokens to be read, or ms of service at a plain service. */
export function workOf(
  { engine }: routes.Service,
  { firstByteLatencyMs }: upstreams.Upstream,
  tokensToRead: number,
): number {
  return engine ? tokensToRead : (firstByteLatencyMs ?? UNKNOWN_SERVICE_MS);
}

/** An account above its fair share, for the journal. */
export type Overuse = { service: string; account: string; overuse: number };

export function recordPlaced(
  state: fleet.State,
  { requestId, service: name, clientAccount, waiting }: placement.Request,
  { destination }: Extract<placement.Decision, { kind: 'placed' }>,
  now: task.Instant,
): void {
  const service = state.services.get(name);
  const upstream = state.registry.upstreams.get(destination.upstream);
  if (!service || !upstream || !loadControl.isPredictive(state, name)) return;
  const work = workOf(service, upstream, destination.expected.tokensToRead);
  const account = shares.ledger.keyOf(clientAccount);
  shares.ledger.charge(state.ledger, requestId, { service: name, account, work }, now);
  shares.pace.spend(pacing.paceOf(state, service, now), work, now);
  if (waiting) shares.ranks.recordWork(state.ledger, name, waiting.rank, work, now);
}

/** Each read of a stream after its first byte is counted as one token. */
export function recordResponse(
  state: fleet.State,
  upstream: upstreams.Upstream,
  requestId: string | undefined,
  now: task.Instant,
): void {
  const service = state.services.get(upstream.registration.service);
  if (!service?.engine || requestId === undefined) return;
  if (upstream.inFlight.get(requestId)?.hasFirstByte) {
    shares.ledger.recordToken(state.ledger, requestId, now);
  }
}

/** Before the attempt is removed from the work in flight. */
export function recordEnded(
  state: fleet.State,
  upstream: upstreams.Upstream,
  requestId: string,
  outcome: lifecycle.AttemptOutcome,
  now: task.Instant,
): void {
  const service = state.services.get(upstream.registration.service);
  const work = isNotRun(outcome) ? 0 : servedMs(service, upstream, requestId, now);
  shares.ledger.settle(state.ledger, requestId, work, now);
}

function servedMs(
  service: routes.Service | undefined,
  { inFlight }: upstreams.Upstream,
  requestId: string,
  now: task.Instant,
): number | undefined {
  const attempt = inFlight.get(requestId);
  return attempt && !service?.engine ? now.monotonicMs - attempt.startedAtMs : undefined;
}

/** Whether the upstream did none of the work. A cancelled attempt may have been worked on. */
function isNotRun(outcome: lifecycle.AttemptOutcome): boolean {
  switch (outcome) {
    case 'rejected':
    case 'unreachable':
    case 'no-connection':
      return true;
    case 'answered':
    case 'failed':
    case 'broken':
    case 'silent':
    case 'cancelled':
      return false;
    default:
      return results.assertNever(outcome);
  }
}
