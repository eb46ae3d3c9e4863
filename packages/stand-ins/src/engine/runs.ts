/** Runs of an engine: admission to slots by priority, and run output that subscribers can resume. */
import * as serve from '../http/serve.js';

export type Priority = 'short' | 'normal' | 'long';
const PRIORITY_RANKS: Record<Priority, number> = { short: 0, normal: 1, long: 2 };

/** Admits work to a fixed number of slots by priority, then by arrival. */
export type SlotScheduler = {
  /** Resolves once a slot is assigned; the caller releases it. */
  acquire(priority: Priority): Promise<void>;
  release(): void;
  load(): { running: number; waiting: number };
};

export function createSlotScheduler(size: number): SlotScheduler {
  const waiting: { rank: number; grant(): void }[] = [];
  const state = { running: 0 };
  const admit = () => {
    if (state.running >= size) return;
    waiting.sort((a, b) => a.rank - b.rank);
    const next = waiting.shift();
    if (!next) return;
    state.running += 1;
    next.grant();
  };
  return {
    acquire(priority) {
      return new Promise((resolve) => {
        waiting.push({ rank: PRIORITY_RANKS[priority], grant: resolve });
        admit();
      });
    },
    release() {
      state.running -= 1;
      admit();
    },
    load: () => ({ running: state.running, waiting: waiting.length }),
  };
}

export type RunEvent =
  | {
      kind: 'started';
      runId: string;
      promptTokens: number;
      reusedTokens: number;
      importedTokens: number;
    }
  | { kind: 'token'; runId: string; offset: number; text: string }
  | { kind: 'ended'; runId: string; finish: 'stop' | 'length' | 'cancelled'; tokens: number };

/** One run: its output lines so far, kept for resumption, and its subscribers. */
export type Run = {
  runId: string;
  lines: RunEvent[];
  subscribers: Set<serve.LineStream>;
  isCancelled: boolean;
  isFinished: boolean;
};

export function createRun(runId: string): Run {
  return { runId, lines: [], subscribers: new Set(), isCancelled: false, isFinished: false };
}

export function publish(run: Run, line: RunEvent): void {
  run.lines.push(line);
  run.subscribers.forEach((subscriber) => subscriber.write(line));
  if (line.kind !== 'ended') return;
  Object.assign(run, { isFinished: true });
  run.subscribers.forEach((subscriber) => subscriber.end());
}

/** Streams a run from a token offset: first the lines so far, then new lines as they are published. */
export function subscribe(run: Run, lines: serve.LineStream, offset: number): void {
  run.lines
    .filter((line) => line.kind !== 'token' || line.offset >= offset)
    .forEach((line) => lines.write(line));
  if (run.isFinished) {
    lines.end();
    return;
  }
  run.subscribers.add(lines);
  lines.onClose(() => run.subscribers.delete(lines));
}
