/**
 * Models an engine: chunked prefill interleaved with the tokens of running requests, memory, a queue by priority, a
 * cache of prompt parts, and episodes in which it is slow.
 */
import type * as fixtures from '@medlarweir/core/fixtures';

export type Part = { id: string; tokens: number };

export type Job = {
  parts: readonly Part[];
  outputTokens: number;
  rank: number;
  /** Whether its caller has gone: the job is dropped. */
  isOver(): boolean;
  /** The head of the answer and its first token. */
  onFirstToken(): void;
  onToken(): void;
  onEnd(): void;
  /** The engine is gone, and the work with it. */
  onLost(): void;
};

type Running = Job & {
  leftToRead: number;
  leftTokens: number;
  memoryTokens: number;
  order: number;
};

export type Engine = {
  /** Returns false if the queue is full: the job is rejected. */
  submit(job: Job): boolean;
  stop(): void;
  resume(): void;
  setSlow(factor: number): void;
  load(): { running: number; waiting: number; slots: number };
  isUp(): boolean;
  /** Tokens read more than once, since their part had been evicted. */
  readAgain(): number;
};

const SLOTS = 64;
const QUEUE = 192;
const MEMORY_TOKENS = 90_494;
const PREFILL_TOKENS_PER_MS = 61.2;
const CHUNK_TOKENS = 2_048;
/** Time of a step besides its prefill, and for each request that generates a token. */
const STEP_MS = 6;
const TOKEN_MS = 0.15;

export function create(sim: fixtures.Simulation): Engine {
  const state = { isUp: true, isStepping: false, slow: 1, order: 0, readAgain: 0, epoch: 0 };
  const queue: Running[] = [];
  const running: Running[] = [];
  const cache = new Map<string, number>();
  const seen = new Set<string>();

  const memoryInUse = () => running.reduce((sum, each) => sum + each.memoryTokens, 0);
  const cached = () => [...cache.values()].reduce((sum, tokens) => sum + tokens, 0);

  function evict(limit: number): void {
    for (const [id, tokens] of cache) {
      if (cached() <= limit) return;
      cache.delete(id);
      if (tokens > 0) seen.add(id);
    }
  }

  /** Tokens that are not in the cache; the parts are in it afterwards. */
  function tokensToRead(parts: readonly Part[]): number {
    return parts.reduce((sum, { id, tokens }) => {
      const isCached = cache.delete(id);
      cache.set(id, tokens);
      if (!isCached && seen.has(id)) state.readAgain += tokens;
      return isCached ? sum : sum + tokens;
    }, 0);
  }

  function admit(): void {
    const gone = queue.filter((each) => each.isOver());
    gone.forEach((each) => {
      queue.splice(queue.indexOf(each), 1);
      each.onEnd();
    });
    queue.sort((a, b) => a.rank - b.rank || a.order - b.order);
    while (running.length < SLOTS) {
      const [next] = queue;
      if (!next || memoryInUse() + next.memoryTokens > MEMORY_TOKENS) return;
      queue.shift();
      next.leftToRead = tokensToRead(next.parts);
      running.push(next);
      evict(MEMORY_TOKENS - Math.min(MEMORY_TOKENS, memoryInUse() / 2));
    }
  }

  function step(): void {
    admit();
    if (running.length === 0 || !state.isUp) {
      state.isStepping = false;
      return;
    }
    state.isStepping = true;
    const { epoch } = state;
    const reading = running
      .filter(({ leftToRead }) => leftToRead > 0)
      .sort((a, b) => a.rank - b.rank || a.order - b.order);
    let chunk = CHUNK_TOKENS;
    const hasRead: Running[] = [];
    reading.forEach((each) => {
      const read = Math.min(chunk, each.leftToRead);
      chunk -= read;
      Object.assign(each, { leftToRead: each.leftToRead - read });
      if (read > 0 && each.leftToRead === 0) hasRead.push(each);
    });
    const generating = running.filter((each) => each.leftToRead === 0 && !hasRead.includes(each));
    const readMs = (CHUNK_TOKENS - chunk) / PREFILL_TOKENS_PER_MS;
    const stepMs = (STEP_MS + readMs + generating.length * TOKEN_MS) * state.slow;
    sim.add(stepMs, () => {
      if (epoch !== state.epoch) return;
      hasRead.forEach((each) => each.onFirstToken());
      generating.forEach((each) => {
        Object.assign(each, { leftTokens: each.leftTokens - 1 });
        each.onToken();
      });
      running
        .filter(({ leftTokens }) => leftTokens <= 0)
        .forEach((each) => {
          running.splice(running.indexOf(each), 1);
          each.onEnd();
        });
      step();
    });
  }

  function stop(): void {
    state.isUp = false;
    state.epoch += 1;
    state.isStepping = false;
    const lost = [...running.splice(0), ...queue.splice(0)];
    cache.clear();
    lost.forEach((each) => each.onLost());
  }

  return {
    submit(job) {
      if (!state.isUp || queue.length >= QUEUE) return false;
      state.order += 1;
      // The first part is shared by requests, and is in memory once.
      const own = job.parts.slice(1).reduce((sum, { tokens }) => sum + tokens, 0);
      const memoryTokens = own + job.outputTokens;
      const { order } = state;
      queue.push({
        ...job,
        leftToRead: 0,
        leftTokens: job.outputTokens - 1,
        memoryTokens,
        order,
      });
      if (!state.isStepping) step();
      return true;
    },
    stop,
    resume: () => Object.assign(state, { isUp: true }),
    setSlow: (slow) => Object.assign(state, { slow }),
    load: () => ({ running: running.length, waiting: queue.length, slots: SLOTS }),
    isUp: () => state.isUp,
    readAgain: () => state.readAgain,
  };
}
