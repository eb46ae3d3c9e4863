/** Refusals of requests that find no place, or have waited for one for as long as they may. */
import type * as task from '../kernel/task.js';
import * as returns from '../returns/index.js';
import * as shares from '../shares/index.js';
import type * as decide from './decide.js';
import type * as placement from './placement.js';
import * as promptPrefill from './prompt-prefill.js';
import type * as refusals from './refusals.js';
import type * as fleet from './state.js';
import type * as waitClaims from './wait-claims.js';

type Entry = shares.waitingQueue.Entry<waitClaims.Waiter>;

/** Why a request was refused, for journal and metrics. */
export type RefusalReason =
  /** No place will be free within the time for which it may wait. */
  | 'hopeless'
  /** Its caller gives up before the first token could come. */
  | 'past-deadline'
  /** It has waited for as long as it may. */
  | 'waited'
  | 'queue-full';

export type LoadRefusal = {
  reason: RefusalReason;
  placementRequest: placement.Request;
  load: refusals.Load | undefined;
  overuse: number;
  waitedMs: number;
  retryTime: returns.retryTime.RetryTime;
};

/** Why the request is refused now; undefined if it waits. */
export function judge(
  { untilMs, enteredAtMs, waiting: { placementRequest } }: Entry,
  { freeInMs = 0, load }: refusals.Refusal,
  now: task.Instant,
): RefusalReason | undefined {
  const leftMs = untilMs - now.monotonicMs;
  const { deadlineAtMs, maxMs } = placementRequest.waiting;
  if (leftMs <= 0 && enteredAtMs < now.monotonicMs) return 'waited';
  if (load && now.monotonicMs + load.readMs >= deadlineAtMs) return 'past-deadline';
  // Once an answer has begun, or may have, there is nothing to be gained by a refusal.
  const mayRefuse = placementRequest.mayRefuse || leftMs <= 0;
  // Once it waits, it is given up early only if it would not have been let in: estimates vary by some ms.
  const boundMs = enteredAtMs < now.monotonicMs ? maxMs : leftMs;
  return mayRefuse && (leftMs <= 0 || freeInMs > boundMs) ? 'hopeless' : undefined;
}

export function refuse(
  state: fleet.State,
  { requestId, enteredAtMs, waiting: { placementRequest, replyTo } }: Entry,
  load: refusals.Load | undefined,
  reason: RefusalReason,
  now: task.Instant,
): readonly decide.Command[] {
  const { service, clientAccount, content, waiting } = placementRequest;
  state.waiting.delete(requestId);
  const account = shares.ledger.keyOf(clientAccount);
  const work = load?.work ?? promptPrefill.promptTokens(placementRequest);
  shares.ledger.recordRefused(state.ledger, service, account, work, now);
  const retryTime = returns.retryTime.assign(
    {
      content,
      routeTimeoutMs: waiting.routeTimeoutMs,
      remainingMs: waiting.deadlineAtMs - now.monotonicMs,
      freeInMs: load && Math.max(0, load.waitMs - load.maxWaitMs),
    },
    now.wallMs,
  );
  returns.assigned.record(state.assigned, content, now.wallMs + retryTime.retryAfterMs);
  const overuse = shares.ledger.overuseOf(state.ledger, service, account, now);
  const waitedMs = now.monotonicMs - enteredAtMs;
  const refusal = { reason, placementRequest, load, overuse, waitedMs, retryTime };
  const { retryAfterMs } = retryTime;
  return [
    { kind: 'record-load-refusal', refusal },
    {
      kind: 'reply',
      replyTo,
      message: { type: 'fleet.not-placed', reason: 'full', freeInMs: undefined, retryAfterMs },
    },
  ];
}
