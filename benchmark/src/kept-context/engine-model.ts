/** Models an engine: slots, chunked prefill by priority, and a least-recently-used cache. */
import type * as core from '@medlarweir/core';

import type * as agenda from './agenda.js';

export const SLOTS = 8;
export const PREFILL_TOKENS_PER_S = 8_000;
export const CACHE_PIECES = 160;
const DECODE_MS = 4_000;
const REPORT_LAG_MS = 200;
const PIECE_TOKENS = 2_000;
export const PIECES_PER_S = PREFILL_TOKENS_PER_S / PIECE_TOKENS;

export type Job = {
  pieces: readonly string[];
  adopted: ReadonlySet<string>;
  promptTokens: number;
  priority: core.configuration.Priority;
  onFirstToken: (reusedPieces: number, importedPieces: number) => void;
  onEnd: () => void;
};

type Running = Job & { leftTokens: number; reused: number; imported: number; order: number };

export type EngineModel = {
  submit(job: Job): void;
  has(piece: string): boolean;
  requests(): number;
};

const RANK: Record<core.configuration.Priority, number> = { short: 0, normal: 1, long: 2 };

export function create(
  time: agenda.Agenda,
  report: ((report: core.messages.EngineReport) => void) | undefined,
): EngineModel {
  const cache = new Set<string>();
  const waiting: Running[] = [];
  const prefilling: Running[] = [];
  const state = { sequence: 0, running: 0, order: 0, isBusy: false };

  function publish(kind: 'piece-cached' | 'piece-evicted', piece: string): void {
    if (!report) return;
    state.sequence += 1;
    const { sequence } = state;
    time.after(REPORT_LAG_MS, () => report({ kind, sequence, piece }));
  }

  function publishLoad(): void {
    if (!report) return;
    const { running } = state;
    const load = {
      kind: 'load',
      running,
      waiting: waiting.length,
      temperature: 'warm',
      weightVersion: 'v1',
    } as const;
    time.after(REPORT_LAG_MS, () => report(load));
  }

  function touch(piece: string): void {
    const isNew = !cache.delete(piece);
    cache.add(piece);
    if (isNew) publish('piece-cached', piece);
    const [oldest] = cache;
    if (cache.size <= CACHE_PIECES || oldest === undefined) return;
    cache.delete(oldest);
    publish('piece-evicted', oldest);
  }

  function admit(): void {
    waiting.sort((a, b) => RANK[a.priority] - RANK[b.priority] || a.order - b.order);
    while (state.running < SLOTS) {
      const next = waiting.shift();
      if (!next) break;
      state.running += 1;
      begin(next);
    }
    publishLoad();
  }

  /** Looks up the cached and imported pieces when the run begins, as an engine does. */
  function begin(run: Running): void {
    const firstMissing = run.pieces.findIndex((each) => !cache.has(each) && !run.adopted.has(each));
    const held = firstMissing === -1 ? run.pieces : run.pieces.slice(0, firstMissing);
    const reused = held.filter((piece) => cache.has(piece)).length;
    const leftTokens = run.promptTokens - held.length * PIECE_TOKENS;
    Object.assign(run, { reused, imported: held.length - reused, leftTokens });
    held.forEach(touch);
    prefilling.push(run);
    work();
  }

  /** Prefills one chunk of the run with the highest priority, then selects again. */
  function work(): void {
    if (state.isBusy) return;
    prefilling.sort((a, b) => RANK[a.priority] - RANK[b.priority] || a.order - b.order);
    const [run] = prefilling;
    if (!run) return;
    state.isBusy = true;
    const tokens = Math.min(PIECE_TOKENS, run.leftTokens);
    time.after((tokens / PREFILL_TOKENS_PER_S) * 1_000, () => {
      state.isBusy = false;
      Object.assign(run, { leftTokens: run.leftTokens - tokens });
      if (run.leftTokens <= 0) finishPrefill(run);
      work();
    });
  }

  function finishPrefill(run: Running): void {
    prefilling.splice(prefilling.indexOf(run), 1);
    run.pieces.forEach(touch);
    run.onFirstToken(run.reused, run.imported);
    time.after(DECODE_MS, () => {
      state.running -= 1;
      run.onEnd();
      admit();
    });
  }

  publishLoad();
  return {
    submit(job) {
      state.order += 1;
      waiting.push({ ...job, leftTokens: 0, reused: 0, imported: 0, order: state.order });
      admit();
    },
    has: (piece) => cache.has(piece),
    requests: () => state.running + waiting.length,
  };
}
