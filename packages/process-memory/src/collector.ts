/**
 * Collects buffers that are out of use. The runtime counts memory outside its heap, but collects for it only
 * once it has grown by half of the old-space limit, which the machine may not have.
 */
import * as v8 from 'node:v8';
import * as vm from 'node:vm';

import * as pressure from './pressure.js';

export type Collector = {
  /** Counts buffers that are used only for a moment. */
  allocated(bytes: number): void;
  /** Counts a buffer that is kept for a while, and is found only by a collection of all. */
  kept(bytes: number): void;
};

/** What the collector needs of the runtime. */
export type Runtime = {
  residentBytes(): number;
  collect(collection: 'young' | 'all'): void;
};

export type Options = {
  watermarks: pressure.Watermarks;
  onCollected(collection: 'young' | 'all'): void;
  runtime?: Runtime;
};

export function create({ watermarks, onCollected, runtime = ofProcess() }: Options): Collector {
  let state = pressure.initial;
  function onAllocated(next: pressure.State): void {
    state = next;
    if (!pressure.isMeasurementDue(state)) return;
    const step = pressure.measure(state, runtime.residentBytes(), watermarks);
    state = step.state;
    if (step.collection === 'none') return;
    runtime.collect(step.collection);
    onCollected(step.collection);
  }
  return {
    allocated: (bytes) => onAllocated(pressure.allocate(state, bytes)),
    kept: (bytes) => onAllocated(pressure.keep(state, bytes)),
  };
}

type Collect = (options: { type: 'minor' | 'major'; execution: 'sync' }) => void;

function ofProcess(): Runtime {
  // The function is not in the global scope unless the process was started with the flag.
  v8.setFlagsFromString('--expose-gc');
  const collect = vm.runInNewContext('gc') as Collect;
  return {
    residentBytes: () => process.memoryUsage.rss(),
    collect: (collection) =>
      collect({ type: collection === 'all' ? 'major' : 'minor', execution: 'sync' }),
  };
}
