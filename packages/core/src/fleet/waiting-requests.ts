/**
 * Requests that wait for a place under predictive load control. They are started in the order of `core/shares`
 * when an event frees capacity, and refused when their time is over, or at once if no place will be free by then.
 */
import type * as task from '../kernel/task.js';
import * as loadControl from '../load-control/index.js';
import type * as fleetMessages from '../messages/fleet.js';
import type * as gatewayMessages from '../messages/gateway.js';
import * as results from '../results/index.js';
import * as returns from '../returns/index.js';
import * as shares from '../shares/index.js';
import type * as decide from './decide.js';
import type * as placement from './placement.js';
import * as placing from './placing.js';
import * as publishing from './publishing.js';
import * as quarantineSteps from './quarantine-steps.js';
import type * as refusals from './refusals.js';
import type * as fleet from './state.js';
import type * as waitClaims from './wait-claims.js';
import * as waitOrder from './wait-order.js';
import * as waitRefusals from './wait-refusals.js';

type Asked = placement.Request & { waiting: waitClaims.Waiting };
type Entry = shares.waitingQueue.Entry<waitClaims.Waiter>;
type Commands = readonly decide.Command[];

/** With less time than this left, no attempt is made. */
const MIN_ATTEMPT_MS = 40;
/** Callers are to be refused within 50 ms if they cannot be served from the start. */
const MAX_CONTENDED_WAIT_MS = 45;
/** Placements tried for one event: with more, a decision would take longer than the event is worth. */
const MAX_TRIES = 8;
/** Least time between two tries without an event that frees capacity. */
const MIN_RETRY_MS = 25;

function mayWait(state: fleet.State, asked: placement.Request): asked is Asked {
  return asked.waiting !== undefined && loadControl.isPredictive(state, asked.service);
}

export function onPlace(
  state: fleet.State,
  {
    placementRequest: asked,
    replyTo,
  }: Extract<fleetMessages.FleetMessage, { type: 'fleet.place' }>,
  now: task.Instant,
): Commands {
  if (!mayWait(state, asked)) {
    const attempt = placing.attempt(state, asked, replyTo, now);
    return attempt.kind === 'none'
      ? [...attempt.commands, placing.notPlaced(attempt.refusal, replyTo)]
      : attempt.commands;
  }
  const { service, clientAccount, waiting } = asked;
  const { rank } = waiting;
  const usualWaitMs = shares.waitLimit.usualMs({ ...asked, isResumed: false });
  shares.ranks.recordDemand(state.ledger, { service, clientAccount, rank, usualWaitMs }, now);
  const entry = entryOf(state, asked, replyTo, now);
  if (shares.waitingQueue.ofService(state.waiting, asked.service).length === 0) {
    return [...tryEntry(state, entry, now), ...queuedReply(state, entry), ...schedule(state, now)];
  }
  // Others wait already, and some of them may come before this one.
  if (!shares.waitingQueue.add(state.waiting, entry)) {
    return waitRefusals.refuse(state, entry, undefined, 'queue-full', now);
  }
  const commands = dispatch(state, asked.service, now);
  return [...commands, ...queuedReply(state, entry), ...schedule(state, now)];
}

function entryOf(
  state: fleet.State,
  asked: Asked,
  replyTo: gatewayMessages.RequestAddress,
  now: task.Instant,
): Entry {
  const { requestId, service, waiting } = asked;
  const { since, receivedAtMs, deadlineAtMs } = waiting;
  const fromMs = since === 'arrival' ? receivedAtMs : now.monotonicMs;
  const maxMs = maxWaitMs(state, asked, now);
  return {
    requestId,
    service,
    enteredAtMs: now.monotonicMs,
    untilMs: Math.min(fromMs + maxMs, deadlineAtMs - MIN_ATTEMPT_MS),
    retryAtMs: now.monotonicMs,
    waiting: { placementRequest: asked, replyTo, readMs: 0 },
  };
}

/** While many are refused, a request that waits has less hope, and its caller better uses of its time. */
function maxWaitMs(
  { ledger }: fleet.State,
  { service, isResumed, waiting: { maxMs, since } }: Asked,
  now: task.Instant,
): number {
  const { refusedShare } = shares.ledger.viewOf(ledger, service, now);
  const isOrdinary = since === 'arrival' && !isResumed;
  return isOrdinary && shares.waitLimit.isMuchRefused(refusedShare)
    ? Math.min(maxMs, MAX_CONTENDED_WAIT_MS)
    : maxMs;
}

function queuedReply({ waiting }: fleet.State, { requestId, waiting: waiter }: Entry): Commands {
  if (!waiting.has(requestId)) return [];
  return [{ kind: 'reply', replyTo: waiter.replyTo, message: { type: 'fleet.queued' } }];
}

/** Tries to place the request; it waits, or goes on waiting, if it may and a place will be free in time. */
function tryEntry(state: fleet.State, entry: Entry, now: task.Instant): Commands {
  const { requestId, waiting: waiter } = entry;
  const { placementRequest, replyTo } = waiter;
  const attempt = placing.attempt(state, placementRequest, replyTo, now);
  if (attempt.kind === 'answered') {
    state.waiting.delete(requestId);
    return attempt.isPlaced
      ? [...attempt.commands, recordWait(state, entry, now)]
      : attempt.commands;
  }
  const { refusal, commands } = attempt;
  if (!isPassing(refusal)) {
    state.waiting.delete(requestId);
    return [...commands, placing.notPlaced(refusal, replyTo)];
  }
  const reason = waitRefusals.judge(entry, refusal, now);
  if (reason) return [...commands, ...waitRefusals.refuse(state, entry, refusal.load, reason, now)];
  const freeInMs = refusal.freeInMs ?? Infinity;
  Object.assign(waiter, { readMs: refusal.load?.readMs ?? 0 });
  Object.assign(entry, {
    retryAtMs: now.monotonicMs + Math.max(MIN_RETRY_MS, freeInMs),
  });
  state.waiting.set(requestId, entry);
  return commands;
}

/** Whether the refusal may end by itself. */
function isPassing({ reason }: refusals.Refusal): boolean {
  switch (reason) {
    case 'none-usable':
    case 'cold':
    case 'limited':
    case 'paused':
    case 'full':
      return true;
    case 'unknown-service':
    case 'quarantined':
    case 'suspected':
    case 'one-at-a-time':
    case 'software-version-gone':
    case 'cut-off':
      return false;
    default:
      return results.assertNever(reason);
  }
}

function recordWait(
  { assigned }: fleet.State,
  { enteredAtMs, waiting: { placementRequest } }: Entry,
  now: task.Instant,
): decide.Command {
  const { content, waiting } = placementRequest;
  const { routeTimeoutMs } = waiting;
  const returned = returns.assigned.take(assigned, content, routeTimeoutMs, now.wallMs);
  const waitedMs = now.monotonicMs - enteredAtMs;
  return { kind: 'record-wait', placementRequest, waitedMs, returned };
}

/** Places what has a place now, in order; refuses what has waited for as long as it may. */
function dispatch(state: fleet.State, service: string, now: task.Instant): Commands {
  const entries = shares.waitingQueue.ofService(state.waiting, service);
  const over = entries.filter(({ untilMs }) => untilMs <= now.monotonicMs);
  const left = waitOrder.sorted(
    state,
    entries.filter(({ untilMs }) => untilMs > now.monotonicMs),
    now,
  );
  left
    .slice(MAX_TRIES)
    .forEach((entry) => Object.assign(entry, { retryAtMs: now.monotonicMs + MIN_RETRY_MS }));
  return [
    ...left.slice(0, MAX_TRIES).flatMap((entry) => tryEntry(state, entry, now)),
    ...over.flatMap((entry) => tryEntry(state, entry, now)),
  ];
}

function schedule({ waiting }: fleet.State, now: task.Instant): Commands {
  const atMs = shares.waitingQueue.nextAtMs(waiting);
  if (atMs === undefined) return [];
  return [{ kind: 'schedule-waiting', delayMs: Math.max(0, atMs - now.monotonicMs) }];
}

/** The caller has gone, or the request has ended otherwise. A place that was just given to it is free again. */
export function withdraw(state: fleet.State, requestId: string, now: task.Instant): Commands {
  if (state.waiting.delete(requestId)) return [];
  shares.ledger.settle(state.ledger, requestId, 0, now);
  const reserved = [...state.registry.upstreams].filter(([, { inFlight }]) =>
    inFlight.delete(requestId),
  );
  return reserved.flatMap(([upstream]) => [
    ...quarantineSteps.onAttemptEnded(
      state,
      { type: 'fleet.attempt-ended', requestId, upstream, outcome: 'cancelled' },
      now,
    ),
    ...publishing.schedule(state, { upstream, context: undefined }),
  ]);
}

/** Whether the message tells of capacity that has become free, or of time that has passed. */
function frees(message: fleetMessages.FleetMessage): boolean {
  switch (message.type) {
    case 'fleet.attempt-ended':
    case 'fleet.probe-finished':
    case 'fleet.upstream-list-read':
    case 'fleet.evacuations-changed':
    case 'fleet.releases-changed':
    case 'fleet.beginnings-changed':
    case 'fleet.silence-update':
    case 'fleet.waiting-due':
    case 'fleet.withdraw':
    case 'fleet.tick':
      return true;
    case 'fleet.upstream-responded':
      // The head of an answer: its prompt has been read. Later parts free nothing.
      return message.selfReport !== undefined;
    // The state of peers is looked at when the next try is due.
    case 'fleet.peer-update':
    case 'fleet.speed-update':
    case 'fleet.usage-update':
    case 'fleet.place':
    case 'fleet.check-liveness':
    case 'fleet.check-begin':
    case 'fleet.attempt-begun':
    case 'fleet.upstream-list-unavailable':
    case 'fleet.table-adopted':
    case 'fleet.members-changed':
    case 'fleet.target-versions-changed':
    case 'fleet.store-changed':
    case 'fleet.sharing-changed':
    case 'fleet.publish-work':
    case 'fleet.quarantine-update':
    case 'fleet.verdicts-read':
    case 'fleet.verdict-stored':
    case 'fleet.crashes-read':
    case 'fleet.crashes-stored':
    case 'task.start':
    case 'task.drain':
    case 'task.stop':
      return false;
    default:
      return results.assertNever(message);
  }
}

/** The commands of a decision, and those for requests that its message lets go on. */
export function afterMessage(
  step: decide.Step,
  message: fleetMessages.FleetMessage,
  now: task.Instant,
): decide.Step {
  const { state, commands } = step;
  if (state.waiting.size === 0 || !frees(message)) return step;
  const services = [...shares.waitingQueue.servicesOf(state.waiting)];
  const dispatched = services.flatMap((service) => dispatch(state, service, now));
  return { state, commands: [...commands, ...dispatched, ...schedule(state, now)] };
}
