/**
 * Admission control: decides which requests an instance accepts, and when. Each service has a
 * concurrency limit and a bounded queue; a request that cannot be served before its deadline is
 * refused at once with a retry delay.
 */
import type * as schema from '../configuration/schema.js';
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';
import * as results from '../results/index.js';
import * as concurrencyLimit from './concurrency-limit.js';
import * as queues from './queue.js';

export type State = {
  configuration: schema.Configuration | undefined;
  sharesByAccount: ReadonlyMap<string, number>;
  /** By service. Updated in place by the task that owns them. */
  queues: Map<string, queues.ServiceQueue>;
  /** Service by the id of each queued or granted request. Updated in place. */
  held: Map<string, string>;
};

export type Command =
  | {
      kind: 'reply';
      replyTo: task.Address<messages.AdmissionAnswered>;
      message: messages.AdmissionAnswered;
    }
  | { kind: 'schedule-tick' };

type Step = task.Step<State, Command>;

/** Interval at which deadlines are checked and completion rates are measured. */
export const TICK_MS = 500;
const MIN_RETRY_AFTER_MS = 1_000;
const MAX_RETRY_AFTER_MS = 30_000;
/** Fraction of a deadline that may be spent in the queue; the rest is for the first token. */
const MAX_QUEUE_FRACTION = 0.8;
/** Time that requests wait while no upstream takes work: an instance's restart or a short outage. */
const UNAVAILABLE_GRACE_MS = 5_000;

export function initial(): State {
  return {
    configuration: undefined,
    sharesByAccount: new Map(),
    queues: new Map(),
    held: new Map(),
  };
}

export function decide(state: State, message: messages.AdmissionMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'configuration.adopted':
      return { state: onConfiguration(state, message.configuration), commands: [] };
    case 'admission.acquire':
      return onAsk(state, message, now);
    case 'admission.release':
      return onRelease(state, message.requestId, now);
    case 'admission.capacity-changed':
      return onCapacity(state, message, now);
    case 'task.start':
      return { state, commands: [{ kind: 'schedule-tick' }] };
    case 'admission.tick':
      return onTick(state, now);
    case 'peers.digest-received':
    case 'task.drain':
    case 'task.stop':
      return { state, commands: [] };
    default:
      return results.assertNever(message);
  }
}

function onConfiguration(state: State, configuration: schema.Configuration): State {
  const shares = configuration.clientAccounts.map(({ name, share }) => [name, share] as const);
  return { ...state, configuration, sharesByAccount: new Map(shares) };
}

function queueFor(state: State, service: string, now: task.Instant): queues.ServiceQueue {
  const found = state.queues.get(service) ?? queues.create(now);
  state.queues.set(service, found);
  return found;
}

function onAsk(
  state: State,
  message: Extract<messages.AdmissionMessage, { type: 'admission.acquire' }>,
  now: task.Instant,
): Step {
  const { requestId, clientAccount, service, deadlineMs, replyTo } = message;
  const queue = queueFor(state, service, now);
  const shareOf = sharesOf(state);
  const waiting: queues.QueuedRequest = {
    requestId,
    clientAccount,
    deadlineAtMs: now.monotonicMs + deadlineMs,
    replyTo,
  };
  const expectedMs = queues.expectedWaitMs(queue, clientAccount, shareOf);
  if (expectedMs !== undefined && expectedMs > deadlineMs * MAX_QUEUE_FRACTION) {
    const detail = `the wait would be ${Math.round(expectedMs)} ms of ${deadlineMs} ms`;
    const failure = results.failure('deadlineUnreachable', detail);
    return { state, commands: [refuse(waiting, failure, expectedMs)] };
  }
  queue.waiting.push(waiting);
  state.held.set(requestId, service);
  const shed = shedOverLimit(state, queue, expectedMs);
  const refused = refuseWhileUnavailable(state, queue, now);
  return { state, commands: [...shed, ...refused, ...grant(state, queue)] };
}

/** Refuses the whole queue once no upstream has taken work for `UNAVAILABLE_GRACE_MS`. */
function refuseWhileUnavailable(
  state: State,
  queue: queues.ServiceQueue,
  now: task.Instant,
): readonly Command[] {
  const { unavailableSinceMs = now.monotonicMs } = queue;
  if (now.monotonicMs - unavailableSinceMs < UNAVAILABLE_GRACE_MS) return [];
  const failure = results.failure('noUpstream', 'no upstream of the service takes work now');
  return queue.waiting.splice(0).map((waiting) => {
    state.held.delete(waiting.requestId);
    return refuse(waiting, failure, undefined);
  });
}

/** Above `maxRequests`, refuses a queued request of the account furthest above its share. */
function shedOverLimit(
  state: State,
  queue: queues.ServiceQueue,
  expectedMs: number | undefined,
): readonly Command[] {
  const maxRequests = state.configuration?.limits.maxRequests ?? 0;
  if (state.held.size <= maxRequests) return [];
  const shed = queues.shedOne(queue, sharesOf(state));
  if (!shed) return [];
  state.held.delete(shed.requestId);
  const failure = results.failure('overloaded', `the instance holds ${maxRequests} requests`);
  return [refuse(shed, failure, expectedMs)];
}

function onRelease(state: State, requestId: string, now: task.Instant): Step {
  const service = state.held.get(requestId);
  if (service === undefined) return { state, commands: [] };
  state.held.delete(requestId);
  const queue = queueFor(state, service, now);
  queues.release(queue, requestId);
  return { state, commands: grant(state, queue) };
}

function onCapacity(
  state: State,
  {
    service,
    freeSlots,
    upstreams,
  }: Extract<messages.AdmissionMessage, { type: 'admission.capacity-changed' }>,
  now: task.Instant,
): Step {
  const queue = queueFor(state, service, now);
  if (upstreams > 0) queue.unavailableSinceMs = undefined;
  else queue.unavailableSinceMs ??= now.monotonicMs;
  queue.concurrencyLimit = concurrencyLimit.adjust(queue.concurrencyLimit, queue.granted.size, {
    freeSlots,
    upstreams,
  });
  return { state, commands: grant(state, queue) };
}

function onTick(state: State, now: task.Instant): Step {
  const commands = [...state.queues.values()].flatMap((queue) => {
    queues.updateCompletionRate(queue, TICK_MS);
    const expired = queues.takeExpired(queue, now.monotonicMs).map((waiting) => {
      state.held.delete(waiting.requestId);
      const failure = results.failure('deadlineUnreachable', 'waited until the deadline');
      return refuse(waiting, failure, undefined);
    });
    return [...expired, ...refuseWhileUnavailable(state, queue, now)];
  });
  return { state, commands: [...commands, { kind: 'schedule-tick' }] };
}

function grant(state: State, queue: queues.ServiceQueue): readonly Command[] {
  const commands: Command[] = [];
  const shareOf = sharesOf(state);
  for (
    let next = queues.admitNext(queue, shareOf);
    next !== undefined;
    next = queues.admitNext(queue, shareOf)
  ) {
    commands.push(reply(next, { kind: 'granted' }));
  }
  return commands;
}

/** Refuses a request; the retry delay is the expected wait within bounds. */
function refuse(
  waiting: queues.QueuedRequest,
  failure: results.Failure,
  expectedMs: number | undefined,
): Command {
  const waitMs = expectedMs ?? MIN_RETRY_AFTER_MS;
  const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, waitMs));
  return reply(waiting, { kind: 'refused', failure, retryAfterMs });
}

function reply(waiting: queues.QueuedRequest, answer: messages.AdmissionAnswer): Command {
  const { requestId, replyTo } = waiting;
  return { kind: 'reply', replyTo, message: { type: 'admission.answered', requestId, answer } };
}

const DEFAULT_SHARE = 1;

function sharesOf({ sharesByAccount }: State): queues.ShareOf {
  return (clientAccount) => sharesByAccount.get(clientAccount) ?? DEFAULT_SHARE;
}
