/** Runs events in the order of their simulated time, from a binary heap. */

type Event = { atMs: number; order: number; act: () => void };

export type Timeline = {
  nowMs(): number;
  after(delayMs: number, act: () => void): void;
  /** Runs every event up to this time. */
  runUntil(ms: number): void;
};

export function create(): Timeline {
  const heap: Event[] = [];
  const time = { nowMs: 0, order: 0 };

  function rise(from: number): void {
    let at = from;
    while (at > 0) {
      const parent = Math.floor((at - 1) / 2);
      if (!swapIfBefore(at, parent)) return;
      at = parent;
    }
  }
  function sink(): void {
    let at = 0;
    for (let child = smallerChild(at); child !== undefined; child = smallerChild(at)) {
      if (!swapIfBefore(child, at)) return;
      at = child;
    }
  }
  function smallerChild(at: number): number | undefined {
    const left = heap[2 * at + 1];
    const right = heap[2 * at + 2];
    if (!left) return undefined;
    return right && isBefore(right, left) ? 2 * at + 2 : 2 * at + 1;
  }
  function swapIfBefore(lower: number, upper: number): boolean {
    const [a, b] = [heap[lower], heap[upper]];
    if (!a || !b || !isBefore(a, b)) return false;
    heap[lower] = b;
    heap[upper] = a;
    return true;
  }
  function pop(): void {
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    heap[0] = last;
    sink();
  }

  return {
    nowMs: () => time.nowMs,
    after(delayMs, act) {
      time.order += 1;
      heap.push({ atMs: time.nowMs + Math.max(0, delayMs), order: time.order, act });
      rise(heap.length - 1);
    },
    runUntil(ms) {
      for (let next = heap[0]; next && next.atMs <= ms; [next] = heap) {
        pop();
        time.nowMs = next.atMs;
        next.act();
      }
      time.nowMs = ms;
    },
  };
}

function isBefore(a: Event, b: Event): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
