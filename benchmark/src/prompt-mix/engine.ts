/**
 * Model of an engine with chunked prefill: each step reads at most one chunk of prompt tokens, the most
 * urgent request first, and gives every request that has been read one more token.
 */
import type * as timeline from '../models/timeline.js';
import * as prefixCache from './prefix-cache.js';

export type Kind = 'short' | 'long';
export type Work = {
  id: string;
  kind: Kind;
  /** The more urgent ones have lower values. */
  priority: number;
  shared: { id: string; tokens: number };
  ownTokens: number;
  outputTokens: number;
  deadlineMs: number;
  onToken(atMs: number, isFirst: boolean): void;
  onEnd(): void;
  /** The engine went away. */
  onBroken(): void;
};

export type Shape = {
  slots: number;
  queue: number;
  memoryTokens: number;
  tokensPerMs: number;
  /** Factor on the duration of each step at a time. */
  slowdownAt(nowMs: number): number;
};

/** Assumed: the sheet names the prefill rate and the chunk, not the duration of a step without prefill. */
const STEP_MS = 12;
const STEP_PER_REQUEST_MS = 0.1;
const CHUNK_TOKENS = 2_048;

type Run = { work: Work; order: number; unread: number; given: number };

export type Engine = {
  /** Returns whether the engine has taken the request. */
  submit(work: Work): boolean;
  /** Ends all its work without an answer; it takes none from then on. */
  fail(): void;
  load(): { running: number; waiting: number };
  readTokens(): number;
};

export function create(time: timeline.Timeline, shape: Shape): Engine {
  const waiting: Run[] = [];
  const running: Run[] = [];
  const cache = prefixCache.create(shape.memoryTokens);
  const counts = { order: 0, isStepping: false, hasFailed: false, readTokens: 0 };

  const byUrgency = (a: Run, b: Run) => a.work.priority - b.work.priority || a.order - b.order;

  function fits({ work }: Run): boolean {
    return (
      running.length < shape.slots &&
      cache.reserve(work.shared, work.ownTokens + work.outputTokens, running)
    );
  }

  function preemptFor(next: Run): boolean {
    const victim = [...running].sort(byUrgency).at(-1);
    if (!victim || victim.work.priority <= next.work.priority) return false;
    running.splice(running.indexOf(victim), 1);
    Object.assign(victim, { unread: 0 });
    waiting.push(victim);
    return true;
  }

  function admit(): void {
    const nowMs = time.nowMs();
    waiting
      .filter(({ work }) => work.deadlineMs <= nowMs)
      .forEach((late) => {
        waiting.splice(waiting.indexOf(late), 1);
        late.work.onEnd();
      });
    waiting.sort(byUrgency);
    for (let [next] = waiting; next; [next] = waiting) {
      if (!fits(next)) {
        if (!preemptFor(next)) return;
        waiting.sort(byUrgency);
      } else {
        waiting.shift();
        const { shared, ownTokens } = next.work;
        next.unread = ownTokens + (cache.has(shared.id) ? 0 : shared.tokens);
        running.push(next);
      }
    }
  }

  function step(): void {
    if (counts.hasFailed) return;
    admit();
    if (running.length === 0) {
      counts.isStepping = false;
      return;
    }
    counts.isStepping = true;
    let left = CHUNK_TOKENS;
    const decoding = running.filter(({ unread }) => unread === 0);
    const reading = running.filter(({ unread }) => unread > 0).sort(byUrgency);
    reading.forEach((run) => {
      const now = Math.min(left, run.unread);
      left -= now;
      Object.assign(run, { unread: run.unread - now });
    });
    const readTokens = CHUNK_TOKENS - left;
    counts.readTokens += readTokens;
    const plainMs = STEP_MS + STEP_PER_REQUEST_MS * running.length + readTokens / shape.tokensPerMs;
    const done = [...decoding, ...reading.filter(({ unread }) => unread === 0)];
    time.after(plainMs * shape.slowdownAt(time.nowMs()), () => {
      if (counts.hasFailed) return;
      done.forEach((run) => finishToken(run));
      step();
    });
  }

  function finishToken(run: Run): void {
    const { work } = run;
    cache.add(work.shared, running);
    Object.assign(run, { given: run.given + 1 });
    work.onToken(time.nowMs(), run.given === 1);
    if (run.given < work.outputTokens && work.deadlineMs > time.nowMs()) return;
    running.splice(running.indexOf(run), 1);
    work.onEnd();
  }

  return {
    submit(work) {
      if (counts.hasFailed || waiting.length >= shape.queue) return false;
      counts.order += 1;
      waiting.push({ work, order: counts.order, unread: 0, given: 0 });
      if (!counts.isStepping) step();
      return true;
    },
    fail() {
      counts.hasFailed = true;
      [...waiting.splice(0), ...running.splice(0)].forEach(({ work }) => work.onBroken());
    },
    load: () => ({ running: running.length, waiting: waiting.length }),
    readTokens: () => counts.readTokens,
  };
}
