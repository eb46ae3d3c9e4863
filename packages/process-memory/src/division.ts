/** Divides the memory of a machine among the tasks that hold bytes of others. */
import * as os from 'node:os';
import * as v8 from 'node:v8';

import type * as pressure from './pressure.js';

const MB = 1_024 * 1_024;

/** In bytes of memory. */
export type Division = {
  /** Requests and unread responses of callers. */
  callersBytes: number;
  /** Responses of upstreams that are being read. */
  responsesBytes: number;
  /** Responses of other instances that are being read. */
  relayedBytes: number;
  /** Resident memory above which buffers are collected early. */
  watermarks: pressure.Watermarks;
};

export type Machine = {
  /** What the process may have in resident memory before it is ended. */
  memoryBytes: number;
  /** The largest heap of the process. */
  heapBytes: number;
};

/** Resident memory of an instance in calm, half of it code. */
const CALM_RESIDENT_BYTES = 90 * MB;
/** The same at work: a larger heap, and buffers that wait for their collection. */
const BUSY_RESIDENT_BYTES = 110 * MB;
/** The heap in calm, and room for what the process does at work. */
const OWN_HEAP_BYTES = 44 * MB;
/** Of the rest of the heap: the runtime needs room to collect. */
const CALLERS_HEAP_SHARE = 0.5;
/** Of the rest of the machine. */
const CALLERS_SHARE = 0.4;
const RESPONSES_SHARE = 0.2;
/** Of what the machine has beyond the process in calm. */
const YOUNG_WATERMARK_SHARE = 0.15;
const ALL_WATERMARK_SHARE = 0.4;
/** Two of the largest bodies, whatever the machine. */
const MIN_CALLERS_BYTES = 8 * MB;
/** One of the largest bodies, in blocks. */
const MIN_RESPONSES_BYTES = 5 * MB;
const MAX_RESPONSES_BYTES = 16 * MB;

export function of({ memoryBytes, heapBytes }: Machine): Division {
  const freeBytes = Math.max(0, memoryBytes - BUSY_RESIDENT_BYTES);
  const growthBytes = Math.max(0, memoryBytes - CALM_RESIDENT_BYTES);
  const freeHeapBytes = (heapBytes - OWN_HEAP_BYTES) * CALLERS_HEAP_SHARE;
  const callersBytes = Math.min(freeHeapBytes, freeBytes * CALLERS_SHARE);
  const responsesBytes = Math.min(MAX_RESPONSES_BYTES, freeBytes * RESPONSES_SHARE);
  return {
    callersBytes: Math.max(MIN_CALLERS_BYTES, callersBytes),
    responsesBytes: Math.max(MIN_RESPONSES_BYTES, responsesBytes),
    relayedBytes: Math.max(MIN_RESPONSES_BYTES, responsesBytes),
    watermarks: {
      youngBytes: CALM_RESIDENT_BYTES + growthBytes * YOUNG_WATERMARK_SHARE,
      allBytes: CALM_RESIDENT_BYTES + growthBytes * ALL_WATERMARK_SHARE,
    },
  };
}

/** `memoryMb` of 0 takes what the system tells. */
export function ofProcess(memoryMb: number): Division {
  const memoryBytes = memoryMb > 0 ? memoryMb * MB : os.totalmem();
  return of({ memoryBytes, heapBytes: v8.getHeapStatistics().heap_size_limit });
}
