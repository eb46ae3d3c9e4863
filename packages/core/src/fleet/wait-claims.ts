/** What a request may claim under predictive load control, from the ledger of client accounts and the queue. */
import type * as task from '../kernel/task.js';
import * as loadControl from '../load-control/index.js';
import type * as gatewayMessages from '../messages/gateway.js';
import * as returns from '../returns/index.js';
import * as shares from '../shares/index.js';
import * as pacing from './pacing.js';
import type * as placement from './placement.js';
import type * as fleet from './state.js';

/** How a request may wait at the instance, and where it stands among others. */
export type Waiting = {
  /** Priority of its client account or route, 0 is the most urgent. */
  rank: number;
  /** In monotonic ms. */
  receivedAtMs: number;
  /** When its caller gives up, in monotonic ms. */
  deadlineAtMs: number;
  routeTimeoutMs: number;
  /** Time for which it may wait, from its arrival, or from when it first found no place. */
  maxMs: number;
  since: 'arrival' | 'no-place';
};

/** Undefined if the request is placed by the rules without prediction. */
export function claimOf(
  state: fleet.State,
  {
    requestId,
    service,
    clientAccount,
    content,
    latencyTargetMs,
    isResumed,
    waiting,
  }: placement.Request,
  now: task.Instant,
): shares.waitLimit.Claim | undefined {
  const known = state.services.get(service);
  if (!waiting || !known || !loadControl.isPredictive(state, service)) return undefined;
  const { ledger } = state;
  const account = shares.ledger.keyOf(clientAccount);
  const overuse = shares.ledger.overuseOf(ledger, service, account, now);
  return {
    latencyTargetMs,
    isResumed,
    overuse,
    rank: shares.ranks.standingOf(ledger, service, waiting.rank, now),
    isReturn: returns.slots.hasPrecedence(content, waiting.routeTimeoutMs, now.wallMs),
    refusedShare: shares.ledger.viewOf(ledger, service, now).refusedShare,
    pacedForMs: shares.pace.untilAllowedMs(pacing.paceOf(state, known, now), overuse, now),
    untilTargetMs: waiting.receivedAtMs + latencyTargetMs - now.monotonicMs,
    untilDeadlineMs: waiting.deadlineAtMs - now.monotonicMs,
    hasOthersWaiting: shares.waitingQueue
      .ofService(state.waiting, service)
      .some((each) => each.requestId !== requestId && isStillPossible(each.waiting, now)),
  };
}

/** A request that waits for a place, and the address to answer. */
export type Waiter = {
  placementRequest: placement.Request & { waiting: Waiting };
  replyTo: gatewayMessages.RequestAddress;
  /** Time that reading its prompt takes, as last estimated. */
  readMs: number;
};

/** Whether its first token can be in time if it is started now. */
export function isStillPossible({ placementRequest, readMs }: Waiter, now: task.Instant): boolean {
  const { waiting, latencyTargetMs } = placementRequest;
  return now.monotonicMs + readMs <= waiting.receivedAtMs + latencyTargetMs;
}
