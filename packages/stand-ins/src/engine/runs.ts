/** Runs of an engine: slots with priorities, prefill, decode, resumption and cancellation. */
import * as serve from '../http/serve.js';

export type Priority = 'short' | 'normal' | 'long';
const RANKS: Record<Priority, number> = { short: 0, normal: 1, long: 2 };

/** Waiting work by priority, then by arrival; a fixed number of slots. */
export type Slots = {
  /** Resolves when a slot is free; the caller gives it back. */
  take(priority: Priority): Promise<void>;
  giveBack(): void;
  load(): { running: number; waiting: number };
};

export function createSlots(size: number): Slots {
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
    take(priority) {
      return new Promise((resolve) => {
        waiting.push({ rank: RANKS[priority], grant: resolve });
        admit();
      });
    },
    giveBack() {
      state.running -= 1;
      admit();
    },
    load: () => ({ running: state.running, waiting: waiting.length }),
  };
}

export type Line =
  | {
      kind: 'started';
      runId: string;
      promptTokens: number;
      reusedTokens: number;
      importedTokens: number;
    }
  | { kind: 'token'; runId: string; offset: number; text: string }
  | { kind: 'ended'; runId: string; finish: 'stop' | 'length' | 'cancelled'; tokens: number };

/** One run: its lines so far, kept for resumption, and the readers that follow it. */
export type Run = {
  runId: string;
  lines: Line[];
  readers: Set<serve.Lines>;
  isCancelled: boolean;
  isOver: boolean;
};

export function createRun(runId: string): Run {
  return { runId, lines: [], readers: new Set(), isCancelled: false, isOver: false };
}

export function emit(run: Run, line: Line): void {
  run.lines.push(line);
  run.readers.forEach((reader) => reader.write(line));
  if (line.kind !== 'ended') return;
  Object.assign(run, { isOver: true });
  run.readers.forEach((reader) => reader.end());
}

/** Follows a run from an offset: the lines so far, then the rest as it comes. */
export function follow(run: Run, lines: serve.Lines, offset: number): void {
  run.lines
    .filter((line) => line.kind !== 'token' || line.offset >= offset)
    .forEach((line) => lines.write(line));
  if (run.isOver) {
    lines.end();
    return;
  }
  run.readers.add(lines);
  lines.onClose(() => run.readers.delete(lines));
}
