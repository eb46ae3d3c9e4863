/** Simulated time: events run in the order of their times, then of their scheduling. */

export type Timeline = {
  nowMs(): number;
  at(timeMs: number, run: () => void): void;
  after(delayMs: number, run: () => void): void;
  /** Runs all events up to a time. */
  runUntil(endMs: number): void;
};

type Entry = { timeMs: number; order: number; run: () => void };

export function create(): Timeline {
  const heap: Entry[] = [];
  const clock = { nowMs: 0, order: 0 };
  const at = (timeMs: number, run: () => void) => {
    clock.order += 1;
    push(heap, { timeMs: Math.max(timeMs, clock.nowMs), order: clock.order, run });
  };
  return {
    nowMs: () => clock.nowMs,
    at,
    after: (delayMs, run) => at(clock.nowMs + delayMs, run),
    runUntil(endMs) {
      while (heap[0] && heap[0].timeMs <= endMs) {
        const next = pop(heap);
        clock.nowMs = next.timeMs;
        next.run();
      }
      clock.nowMs = endMs;
    },
  };
}

function isBefore(a: Entry, b: Entry): boolean {
  return a.timeMs < b.timeMs || (a.timeMs === b.timeMs && a.order < b.order);
}

function swap(heap: Entry[], a: number, b: number): void {
  const [first, second] = [heap[a], heap[b]];
  if (first && second) Object.assign(heap, { [a]: second, [b]: first });
}

function isBeforeAt(heap: readonly Entry[], a: number, b: number): boolean {
  const [first, second] = [heap[a], heap[b]];
  return first !== undefined && second !== undefined && isBefore(first, second);
}

function push(heap: Entry[], entry: Entry): void {
  heap.push(entry);
  for (let at = heap.length - 1; at > 0;) {
    const parent = Math.floor((at - 1) / 2);
    if (!isBeforeAt(heap, at, parent)) return;
    swap(heap, at, parent);
    at = parent;
  }
}

function pop(heap: Entry[]): Entry {
  swap(heap, 0, heap.length - 1);
  const first = heap.pop();
  if (!first) throw new Error('no event is left on the simulated timeline');
  for (let at = 0; ;) {
    const left = 2 * at + 1;
    const least = isBeforeAt(heap, left + 1, left) ? left + 1 : left;
    if (!isBeforeAt(heap, least, at)) return first;
    swap(heap, at, least);
    at = least;
  }
}
