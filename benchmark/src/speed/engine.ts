/**
 * A model of an engine that prefills prompts in chunks, one after the other, interleaved with the tokens
 * of the requests that run. Work takes longer in slow spells.
 */
import type * as timeline from '../models/timeline.js';

export type Work = {
  tokens: number;
  outputTokens: number;
  onFirstEvent: () => void;
  onEnd: () => void;
};

export type EngineOptions = {
  tokensPerMs: number;
  /** Factor on all times, constant. */
  factor: number;
  slots: number;
  /** Factor on all times at this moment. */
  slowdownAt: (nowMs: number) => number;
};

export type Engine = {
  add(work: Work): void;
  load(): { running: number; waiting: number; slots: number };
};

type Entry = { work: Work; unread: number; left: number };

const CHUNK_TOKENS = 2_048;
const STEP_MS = 6;
const STEP_PER_RUNNING_MS = 0.25;

export function create(time: timeline.Timeline, options: EngineOptions): Engine {
  const state = {
    waiting: [] as Entry[],
    reading: [] as Entry[],
    writing: [] as Entry[],
    isBusy: false,
  };

  function step(): void {
    const { waiting, reading, writing } = state;
    while (waiting.length > 0 && reading.length + writing.length < options.slots) {
      reading.push(...waiting.splice(0, 1));
    }
    const [first] = reading;
    if (!first && writing.length === 0) {
      state.isBusy = false;
      return;
    }
    state.isBusy = true;
    const chunk = first ? Math.min(CHUNK_TOKENS, first.unread) : 0;
    const usualMs = chunk / options.tokensPerMs + STEP_MS + STEP_PER_RUNNING_MS * writing.length;
    const tookMs = usualMs * options.factor * options.slowdownAt(time.nowMs());
    time.after(tookMs, () => finishStep(first, chunk));
  }

  function finishStep(first: Entry | undefined, chunk: number): void {
    const { reading } = state;
    const ended = state.writing.filter((each) => {
      Object.assign(each, { left: each.left - 1 });
      return each.left <= 0;
    });
    state.writing = state.writing.filter((each) => each.left > 0);
    if (first) {
      Object.assign(first, { unread: first.unread - chunk });
      if (first.unread <= 0) {
        reading.shift();
        first.work.onFirstEvent();
        Object.assign(first, { left: first.work.outputTokens - 1 });
        if (first.left > 0) state.writing.push(first);
        else ended.push(first);
      }
    }
    ended.forEach(({ work }) => work.onEnd());
    step();
  }

  return {
    add(work) {
      state.waiting.push({ work, unread: work.tokens, left: work.outputTokens });
      if (!state.isBusy) step();
    },
    load: () => ({
      running: state.reading.length + state.writing.length,
      waiting: state.waiting.length,
      slots: options.slots,
    }),
  };
}

/** A plain service: each of its slots serves one request in a time around the mean. */
export function createPlain(
  time: timeline.Timeline,
  { slots, factor, slowdownAt }: Omit<EngineOptions, 'tokensPerMs'>,
  serviceMs: () => number,
): Engine {
  const state = { waiting: [] as Work[], running: 0 };
  function start(work: Work): void {
    state.running += 1;
    time.after(serviceMs() * factor * slowdownAt(time.nowMs()), () => {
      state.running -= 1;
      work.onFirstEvent();
      work.onEnd();
      const next = state.waiting.shift();
      if (next) start(next);
    });
  }
  return {
    add(work) {
      if (state.running < slots) start(work);
      else state.waiting.push(work);
    },
    load: () => ({ running: state.running, waiting: state.waiting.length, slots }),
  };
}
