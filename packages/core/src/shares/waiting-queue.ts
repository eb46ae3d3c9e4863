/** Requests that wait at an instance for a place, by service. Updated in place by the fleet task. */

/** Requests that wait for one service; further ones are refused at once. */
export const MAX_WAITING = 64;

export type Times = {
  enteredAtMs: number;
  /** When its waiting time is over, in monotonic ms. */
  untilMs: number;
  /** When a place is expected to be free without any event, in monotonic ms; infinite if not known. */
  retryAtMs: number;
};

export type Entry<Waiting> = Times & { requestId: string; service: string; waiting: Waiting };

/** Entries by request id. */
export type Queue<Waiting> = Map<string, Entry<Waiting>>;

export function create<Waiting>(): Queue<Waiting> {
  return new Map();
}

export function ofService<Waiting>(
  queue: Queue<Waiting>,
  service: string,
): readonly Entry<Waiting>[] {
  return [...queue.values()].filter((each) => each.service === service);
}

export function servicesOf<Waiting>(queue: Queue<Waiting>): ReadonlySet<string> {
  return new Set([...queue.values()].map(({ service }) => service));
}

/** Returns false if the queue of its service is full. */
export function add<Waiting>(queue: Queue<Waiting>, entry: Entry<Waiting>): boolean {
  if (ofService(queue, entry.service).length >= MAX_WAITING) return false;
  queue.set(entry.requestId, entry);
  return true;
}

/** When the task has to look at the queue without any event; undefined if nothing waits. */
export function nextAtMs<Waiting>(queue: Queue<Waiting>): number | undefined {
  if (queue.size === 0) return undefined;
  return Math.min(
    ...[...queue.values()].map(({ untilMs, retryAtMs }) => Math.min(untilMs, retryAtMs)),
  );
}
