/** Publishes an engine's cache events and load reports, with a configurable lag and event loss. */
import type * as serve from '../http/serve.js';

export type Report =
  | { kind: 'piece-cached'; sequence: number; piece: string }
  | { kind: 'piece-evicted'; sequence: number; piece: string }
  | { kind: 'snapshot'; sequence: number; pieces: readonly string[] }
  | {
      kind: 'load';
      running: number;
      waiting: number;
      temperature: 'cold' | 'warm';
      weightVersion: string;
    };

export type EventFaults = {
  /** Delay of each report. */
  lagMs: number;
  /** Drops every n-th cache event; 0 drops none. */
  loseEvery: number;
};

export type Publisher = {
  publishCacheEvent(kind: 'piece-cached' | 'piece-evicted', piece: string): void;
  load(report: Extract<Report, { kind: 'load' }>): void;
  /** Adds a subscriber; its stream starts with a snapshot. */
  subscribe(lines: serve.LineStream, pieces: readonly string[]): void;
  setFaults(faults: EventFaults): void;
};

export function create(): Publisher {
  const subscribers = new Set<serve.LineStream>();
  const state = { sequence: 0, faults: { lagMs: 0, loseEvery: 0 } };
  const publish = (report: Report) => {
    const deliver = () => subscribers.forEach((subscriber) => subscriber.write(report));
    if (state.faults.lagMs === 0) deliver();
    else setTimeout(deliver, state.faults.lagMs).unref();
  };
  return {
    publishCacheEvent(kind, piece) {
      state.sequence += 1;
      const { loseEvery } = state.faults;
      const isLost = loseEvery > 0 && state.sequence % loseEvery === 0;
      if (!isLost) publish({ kind, sequence: state.sequence, piece });
    },
    load: publish,
    subscribe(lines, pieces) {
      lines.write({ kind: 'snapshot', sequence: state.sequence, pieces });
      subscribers.add(lines);
      lines.onClose(() => subscribers.delete(lines));
    },
    setFaults(faults) {
      state.faults = faults;
    },
  };
}
