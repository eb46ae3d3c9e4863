/**
 * The requests of one service at one instance: those granted under the concurrency limit, and a
 * bounded queue that serves client accounts by their shares. The admission task updates it in place.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';

export type QueuedRequest = {
  requestId: string;
  clientAccount: string;
  deadlineAtMs: number;
  replyTo: task.Address<messages.AdmissionAnswered>;
};

export type ServiceQueue = {
  /** Most requests that may be granted at once; see `concurrency-limit.ts`. */
  concurrencyLimit: number;
  /** Client account by the id of each granted request. */
  granted: Map<string, string>;
  /** In order of arrival. */
  waiting: QueuedRequest[];
  /** Granted requests completed per second, smoothed; 0 until known. */
  completionsPerS: number;
  completedSinceTick: number;
  /** Monotonic time since which no upstream takes work; `undefined` while one does. */
  unavailableSinceMs: number | undefined;
};

/** The weight of an account's share. */
export type ShareOf = (clientAccount: string) => number;

/** Creates a queue that grants nothing until routing reports capacity. */
export function create(now: task.Instant): ServiceQueue {
  return {
    concurrencyLimit: 0,
    granted: new Map(),
    waiting: [],
    completionsPerS: 0,
    completedSinceTick: 0,
    unavailableSinceMs: now.monotonicMs,
  };
}

/** Grants the next queued request and returns it, unless the concurrency limit is reached. */
export function admitNext(queue: ServiceQueue, shareOf: ShareOf): QueuedRequest | undefined {
  if (queue.granted.size + 1 > queue.concurrencyLimit) return undefined;
  const account = mostUnderservedAccount(queue, shareOf);
  const at = queue.waiting.findIndex(({ clientAccount }) => clientAccount === account);
  const [found] = at < 0 ? [] : queue.waiting.splice(at, 1);
  if (found) queue.granted.set(found.requestId, found.clientAccount);
  return found;
}

/** Returns the queued account with the lowest use of its share after one more grant. */
function mostUnderservedAccount(queue: ServiceQueue, shareOf: ShareOf): string | undefined {
  const granted = countBy([...queue.granted.values()]);
  const accounts = [...new Set(queue.waiting.map(({ clientAccount }) => clientAccount))];
  const use = (account: string) => ((granted.get(account) ?? 0) + 1) / shareOf(account);
  return minBy(accounts, use);
}

/** Removes and returns the newest queued request of the account furthest above its share. */
export function shedOne(queue: ServiceQueue, shareOf: ShareOf): QueuedRequest | undefined {
  const waiting = countBy(queue.waiting.map(({ clientAccount }) => clientAccount));
  const account = minBy([...waiting.keys()], (each) => -(waiting.get(each) ?? 0) / shareOf(each));
  const at = queue.waiting.findLastIndex(({ clientAccount }) => clientAccount === account);
  const [found] = at < 0 ? [] : queue.waiting.splice(at, 1);
  return found;
}

/** Removes and returns the queued requests whose deadline has passed. */
export function takeExpired(queue: ServiceQueue, nowMs: number): readonly QueuedRequest[] {
  const expired = queue.waiting.filter(({ deadlineAtMs }) => deadlineAtMs <= nowMs);
  if (expired.length > 0) {
    const kept = queue.waiting.filter(({ deadlineAtMs }) => deadlineAtMs > nowMs);
    Object.assign(queue, { waiting: kept });
  }
  return expired;
}

/** Returns a new request's expected wait in ms; `undefined` while the rate is not known. */
export function expectedWaitMs(
  queue: ServiceQueue,
  clientAccount: string,
  shareOf: ShareOf,
): number | undefined {
  const isBelowLimit = queue.granted.size + queue.waiting.length + 1 <= queue.concurrencyLimit;
  if (isBelowLimit) return 0;
  if (queue.completionsPerS <= 0) return undefined;
  const accounts = new Set([clientAccount, ...queue.waiting.map((each) => each.clientAccount)]);
  const shares = [...accounts].reduce((sum, account) => sum + shareOf(account), 0);
  const own = queue.waiting.filter((each) => each.clientAccount === clientAccount).length + 1;
  const ownPerS = (queue.completionsPerS * shareOf(clientAccount)) / shares;
  return (own / ownPerS) * 1_000;
}

/** Completes a granted request, or removes a queued one. */
export function release(queue: ServiceQueue, requestId: string): void {
  if (queue.granted.delete(requestId)) {
    Object.assign(queue, { completedSinceTick: queue.completedSinceTick + 1 });
    return;
  }
  const at = queue.waiting.findIndex((each) => each.requestId === requestId);
  if (at >= 0) queue.waiting.splice(at, 1);
}

/** Weight of the newest measurement in the moving average. */
const SMOOTHING = 0.2;

/** Updates the completion rate from the requests completed since the last tick. */
export function updateCompletionRate(queue: ServiceQueue, tickMs: number): void {
  const perS = (queue.completedSinceTick * 1_000) / tickMs;
  const isFirst = queue.completionsPerS === 0;
  const completionsPerS = isFirst
    ? perS
    : queue.completionsPerS + (perS - queue.completionsPerS) * SMOOTHING;
  Object.assign(queue, { completionsPerS, completedSinceTick: 0 });
}

function countBy(names: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  names.forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1));
  return counts;
}

function minBy(names: readonly string[], cost: (name: string) => number): string | undefined {
  return names.reduce<string | undefined>(
    (best, name) => (best !== undefined && cost(best) <= cost(name) ? best : name),
    undefined,
  );
}
