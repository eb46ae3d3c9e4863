/** Simulated time: runs events in the order of their times, and of insertion if times are equal. */

type Entry = { atMs: number; order: number; run: () => void };

export type Agenda = {
  nowMs(): number;
  /** Schedules a callback `delayMs` from now. */
  after(delayMs: number, run: () => void): void;
  /** Runs all events until none is left. */
  runAll(): void;
};

export function create(): Agenda {
  const heap: Entry[] = [];
  const state = { nowMs: 0, order: 0 };

  function swap(a: number, b: number): void {
    const { [a]: first, [b]: second } = heap;
    if (!first || !second) return;
    heap[a] = second;
    heap[b] = first;
  }

  function isBefore(a: number, b: number): boolean {
    const { [a]: first, [b]: second } = heap;
    if (!first || !second) return false;
    return first.atMs === second.atMs ? first.order < second.order : first.atMs < second.atMs;
  }

  function push(entry: Entry): void {
    heap.push(entry);
    for (let at = heap.length - 1; at > 0;) {
      const parent = Math.floor((at - 1) / 2);
      if (!isBefore(at, parent)) return;
      swap(at, parent);
      at = parent;
    }
  }

  function pop(): Entry | undefined {
    const [first] = heap;
    swap(0, heap.length - 1);
    heap.pop();
    for (let at = 0; ;) {
      const left = 2 * at + 1;
      const least = isBefore(left + 1, left) ? left + 1 : left;
      if (!isBefore(least, at)) return first;
      swap(least, at);
      at = least;
    }
  }

  return {
    nowMs: () => state.nowMs,
    after(delayMs, run) {
      state.order += 1;
      push({ atMs: state.nowMs + Math.max(0, delayMs), order: state.order, run });
    },
    runAll() {
      for (let next = pop(); next; next = pop()) {
        state.nowMs = next.atMs;
        next.run();
      }
    },
  };
}
