/**
 * The requests of one service at one instance: those that hold a place, and a bounded queue from
 * which client accounts are served by their shares. Updated in place by the admission task.
 */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/index.js';

export type Waiting = {
  requestId: string;
  clientAccount: string;
  deadlineAtMs: number;
  replyTo: task.Address<messages.AdmissionAnswered>;
};

export type Queue = {
  /** Places that may be held; see `limit.ts`. */
  limit: number;
  /** Client account by the id of each request that holds a place. */
  granted: Map<string, string>;
  /** In the order of arrival. */
  waiting: Waiting[];
  /** Places given back in a second, smoothed; 0 until known. */
  releasesPerS: number;
  releasedSinceTick: number;
  /** Since when no upstream takes work; `undefined` while one does. */
  closedSinceMs: number | undefined;
};

/** The weight of an account's share. */
export type ShareOf = (clientAccount: string) => number;

/** A new queue is closed until routing has told of upstreams. */
export function create(now: task.Instant): Queue {
  return {
    limit: 0,
    granted: new Map(),
    waiting: [],
    releasesPerS: 0,
    releasedSinceTick: 0,
    closedSinceMs: now.monotonicMs,
  };
}

/** Takes the next request out of the queue while a place is free. */
export function takeNext(queue: Queue, shareOf: ShareOf): Waiting | undefined {
  if (queue.granted.size + 1 > queue.limit) return undefined;
  const account = mostEntitled(queue, shareOf);
  const at = queue.waiting.findIndex(({ clientAccount }) => clientAccount === account);
  const [found] = at < 0 ? [] : queue.waiting.splice(at, 1);
  if (found) queue.granted.set(found.requestId, found.clientAccount);
  return found;
}

/** The waiting account that would use the least of its share with one more place. */
function mostEntitled(queue: Queue, shareOf: ShareOf): string | undefined {
  const held = countBy([...queue.granted.values()]);
  const accounts = [...new Set(queue.waiting.map(({ clientAccount }) => clientAccount))];
  const use = (account: string) => ((held.get(account) ?? 0) + 1) / shareOf(account);
  return least(accounts, use);
}

/** The request that has to go when the queue is full: the newest of the account furthest above its share. */
export function overflow(queue: Queue, shareOf: ShareOf): Waiting | undefined {
  const waiting = countBy(queue.waiting.map(({ clientAccount }) => clientAccount));
  const account = least([...waiting.keys()], (each) => -(waiting.get(each) ?? 0) / shareOf(each));
  const at = queue.waiting.findLastIndex(({ clientAccount }) => clientAccount === account);
  const [found] = at < 0 ? [] : queue.waiting.splice(at, 1);
  return found;
}

/** Takes out what has waited past its deadline. */
export function takeExpired(queue: Queue, nowMs: number): readonly Waiting[] {
  const expired = queue.waiting.filter(({ deadlineAtMs }) => deadlineAtMs <= nowMs);
  if (expired.length > 0) {
    const kept = queue.waiting.filter(({ deadlineAtMs }) => deadlineAtMs > nowMs);
    Object.assign(queue, { waiting: kept });
  }
  return expired;
}

/** How long a new request of an account would wait; `undefined` while the rate is not known. */
export function expectedWaitMs(
  queue: Queue,
  clientAccount: string,
  shareOf: ShareOf,
): number | undefined {
  const hasPlace = queue.granted.size + queue.waiting.length + 1 <= queue.limit;
  if (hasPlace) return 0;
  if (queue.releasesPerS <= 0) return undefined;
  const accounts = new Set([clientAccount, ...queue.waiting.map((each) => each.clientAccount)]);
  const shares = [...accounts].reduce((sum, account) => sum + shareOf(account), 0);
  const own = queue.waiting.filter((each) => each.clientAccount === clientAccount).length + 1;
  const ownPerS = (queue.releasesPerS * shareOf(clientAccount)) / shares;
  return (own / ownPerS) * 1_000;
}

/** Gives back a place, or withdraws a request that waits. */
export function release(queue: Queue, requestId: string): void {
  if (queue.granted.delete(requestId)) {
    Object.assign(queue, { releasedSinceTick: queue.releasedSinceTick + 1 });
    return;
  }
  const at = queue.waiting.findIndex((each) => each.requestId === requestId);
  if (at >= 0) queue.waiting.splice(at, 1);
}

/** Weight of the newest measurement. */
const SMOOTHING = 0.2;

/** Measures the rate at which places come back. */
export function measure(queue: Queue, tickMs: number): void {
  const perS = (queue.releasedSinceTick * 1_000) / tickMs;
  const isFirst = queue.releasesPerS === 0;
  const releasesPerS = isFirst
    ? perS
    : queue.releasesPerS + (perS - queue.releasesPerS) * SMOOTHING;
  Object.assign(queue, { releasesPerS, releasedSinceTick: 0 });
}

function countBy(names: readonly string[]): Map<string, number> {
  const counts = new Map<string, number>();
  names.forEach((name) => counts.set(name, (counts.get(name) ?? 0) + 1));
  return counts;
}

function least(names: readonly string[], cost: (name: string) => number): string | undefined {
  return names.reduce<string | undefined>(
    (best, name) => (best !== undefined && cost(best) <= cost(name) ? best : name),
    undefined,
  );
}
