/**
 * The requests of one service at one instance: those that hold a place, and a bounded queue from
 * which client accounts are served by their shares. Updated in place by the admission task.
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
  /** Places that may be held; see `limit.ts`. */
  concurrencyLimit: number;
  /** Client account by the id of each request that holds a place. */
  granted: Map<string, string>;
  /** In the order of arrival. */
  waiting: QueuedRequest[];
  /** Places given back in a second, smoothed; 0 until known. */
  completionsPerS: number;
  completedSinceTick: number;
  /** Since when no upstream takes work; `undefined` while one does. */
  unavailableSinceMs: number | undefined;
};

/** The weight of an account's share. */
export type ShareOf = (clientAccount: string) => number;

/** A new queue is closed until routing has told of upstreams. */
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

/** Takes the next request out of the queue while a place is free. */
export function admitNext(queue: ServiceQueue, shareOf: ShareOf): QueuedRequest | undefined {
  if (queue.granted.size + 1 > queue.concurrencyLimit) return undefined;
  const account = mostUnderservedAccount(queue, shareOf);
  const at = queue.waiting.findIndex(({ clientAccount }) => clientAccount === account);
  const [found] = at < 0 ? [] : queue.waiting.splice(at, 1);
  if (found) queue.granted.set(found.requestId, found.clientAccount);
  return found;
}

/** The waiting account that would use the least of its share with one more place. */
function mostUnderservedAccount(queue: ServiceQueue, shareOf: ShareOf): string | undefined {
  const held = countBy([...queue.granted.values()]);
  const accounts = [...new Set(queue.waiting.map(({ clientAccount }) => clientAccount))];
  const use = (account: string) => ((held.get(account) ?? 0) + 1) / shareOf(account);
  return minBy(accounts, use);
}

/** The request that has to go when the queue is full: the newest of the account furthest above its share. */
export function shedOne(queue: ServiceQueue, shareOf: ShareOf): QueuedRequest | undefined {
  const waiting = countBy(queue.waiting.map(({ clientAccount }) => clientAccount));
  const account = minBy([...waiting.keys()], (each) => -(waiting.get(each) ?? 0) / shareOf(each));
  const at = queue.waiting.findLastIndex(({ clientAccount }) => clientAccount === account);
  const [found] = at < 0 ? [] : queue.waiting.splice(at, 1);
  return found;
}

/** Takes out what has waited past its deadline. */
export function takeExpired(queue: ServiceQueue, nowMs: number): readonly QueuedRequest[] {
  const expired = queue.waiting.filter(({ deadlineAtMs }) => deadlineAtMs <= nowMs);
  if (expired.length > 0) {
    const kept = queue.waiting.filter(({ deadlineAtMs }) => deadlineAtMs > nowMs);
    Object.assign(queue, { waiting: kept });
  }
  return expired;
}

/** How long a new request of an account would wait; `undefined` while the rate is not known. */
export function expectedWaitMs(
  queue: ServiceQueue,
  clientAccount: string,
  shareOf: ShareOf,
): number | undefined {
  const hasPlace = queue.granted.size + queue.waiting.length + 1 <= queue.concurrencyLimit;
  if (hasPlace) return 0;
  if (queue.completionsPerS <= 0) return undefined;
  const accounts = new Set([clientAccount, ...queue.waiting.map((each) => each.clientAccount)]);
  const shares = [...accounts].reduce((sum, account) => sum + shareOf(account), 0);
  const own = queue.waiting.filter((each) => each.clientAccount === clientAccount).length + 1;
  const ownPerS = (queue.completionsPerS * shareOf(clientAccount)) / shares;
  return (own / ownPerS) * 1_000;
}

/** Gives back a place, or withdraws a request that waits. */
export function release(queue: ServiceQueue, requestId: string): void {
  if (queue.granted.delete(requestId)) {
    Object.assign(queue, { completedSinceTick: queue.completedSinceTick + 1 });
    return;
  }
  const at = queue.waiting.findIndex((each) => each.requestId === requestId);
  if (at >= 0) queue.waiting.splice(at, 1);
}

/** Weight of the newest measurement. */
const SMOOTHING = 0.2;

/** Measures the rate at which places come back. */
export function updateCompletionRate(queue: ServiceQueue, tickMs: number): void {
  const perS = (queue.completedSinceTick * 1_000) / tickMs;
  const isFirst = queue.completionsPerS === 0;
  const releasesPerS = isFirst
    ? perS
    : queue.completionsPerS + (perS - queue.completionsPerS) * SMOOTHING;
  Object.assign(queue, { completionsPerS: releasesPerS, completedSinceTick: 0 });
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
