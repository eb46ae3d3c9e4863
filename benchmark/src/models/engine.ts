/** Models an engine at its interface: slots, a queue, cold starts and delayed load reports. */
import type * as core from '@medlarweir/core';

import type * as timelines from './timeline.js';

export type Engine = {
  name: string;
  /** Submits a request; the engine answers through one of the callbacks of `run`. */
  receive(run: Run): void;
  /** Restarts the engine: all running requests are lost, and it is cold for a while. */
  turnCold(coldMs: number): void;
  load(): { running: number; waiting: number };
  report(): Extract<core.messages.EngineReport, { kind: 'load' }>;
  stats(): Stats;
};

/** One request, as the engine sees it. */
export type Run = {
  onRefused(): void;
  onFirstToken(): void;
  onEnded(): void;
  /** The request was running or queued when the engine turned cold. */
  onLost(): void;
};

export type Stats = {
  /** Highest number of concurrent requests while cold. */
  coldPeak: number;
  /** Requests that exceeded its capacity while cold. */
  coldOverloads: number;
  lost: number;
  /** Arrival time of the last request. */
  lastArrivalMs: number;
};

export type Options = {
  name: string;
  slots: number;
  coldSlots: number;
  firstTokenMs: number;
  /** Time from the first token to the last. */
  answerMs: number;
};

export function create(timeline: timelines.Timeline, options: Options): Engine {
  const running = new Set<Run>();
  const waiting: Run[] = [];
  const state = { coldUntilMs: 0, coldPeak: 0, coldOverloads: 0, lost: 0, lastArrivalMs: 0 };
  const isCold = () => timeline.nowMs() < state.coldUntilMs;
  const load = () => ({ running: running.size, waiting: waiting.length });

  function startNext(): void {
    if (running.size >= options.slots) return;
    const run = waiting.shift();
    if (!run) return;
    running.add(run);
    timeline.after(options.firstTokenMs, () => {
      if (running.has(run)) run.onFirstToken();
    });
    timeline.after(options.firstTokenMs + options.answerMs, () => {
      if (!running.delete(run)) return;
      run.onEnded();
      startNext();
    });
  }

  function receive(run: Run): void {
    state.lastArrivalMs = timeline.nowMs();
    const held = running.size + waiting.length;
    if (isCold()) {
      state.coldPeak = Math.max(state.coldPeak, held + 1);
      if (held >= options.coldSlots) {
        state.coldOverloads += 1;
        run.onRefused();
        return;
      }
    }
    waiting.push(run);
    startNext();
  }

  function turnCold(coldMs: number): void {
    state.coldUntilMs = timeline.nowMs() + coldMs;
    const lost = [...running, ...waiting];
    state.lost += lost.length;
    running.clear();
    waiting.length = 0;
    lost.forEach((run) => run.onLost());
  }

  return {
    name: options.name,
    receive,
    turnCold,
    load,
    report: () => ({
      kind: 'load',
      ...load(),
      temperature: isCold() ? 'cold' : 'warm',
      weightVersion: 'v1',
    }),
    stats: () => ({
      coldPeak: state.coldPeak,
      coldOverloads: state.coldOverloads,
      lost: state.lost,
      lastArrivalMs: state.lastArrivalMs,
    }),
  };
}
