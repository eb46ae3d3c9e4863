/** Limits that follow from the process: its memory and its descriptors. */
import * as fs from 'node:fs/promises';
import * as v8 from 'node:v8';

import type * as processMemory from '@medlarweir/process-memory';

import type * as memoryBudget from './memory-budget.js';

/** Of the callers' budget. */
const CONNECTION_SHARE = 0.25;
/** The largest body and the largest answer (4 MiB each), and the longest head in the shortest lines. */
const MIN_CONNECTION_BYTES = 10 * 1_024 * 1_024;
/** For addresses that take no body. */
const SMALL_SHARE = 0.03;
/** Of 4,100 descriptors the platform uses 200; upstreams and the store need a few hundred. */
const OTHER_DESCRIPTORS = 500;

/** `bytes` of 0 take what the division of the memory leaves for callers. */
export function callersBudget(
  bytes: number,
  { callersBytes }: processMemory.division.Division,
): memoryBudget.Budget {
  const processBytes = bytes > 0 ? bytes : callersBytes;
  const connectionBytes = Math.max(MIN_CONNECTION_BYTES, processBytes * CONNECTION_SHARE);
  return { processBytes, connectionBytes };
}

export function smallBudget(): memoryBudget.Budget {
  const processBytes = v8.getHeapStatistics().heap_size_limit * SMALL_SHARE;
  return { processBytes, connectionBytes: processBytes * CONNECTION_SHARE };
}

/** Settings of what the callers of an instance may hold. */
export type Memory = ConnectionSettings & {
  /** What callers may hold, in bytes; 0 for a share of the division. */
  callerBytes: number;
  division: processMemory.division.Division;
  collector: processMemory.collector.Collector;
};

export type ConnectionSettings = {
  maxConnections: number;
  /** File descriptors of the process; 0 for the limit that the system tells. */
  maxDescriptors: number;
};

/** The most connections that leave descriptors for the rest of the process. */
export async function maxConnections({
  maxConnections: configured,
  maxDescriptors,
}: ConnectionSettings): Promise<number> {
  const descriptors = maxDescriptors > 0 ? maxDescriptors : await ownDescriptors();
  return Math.max(1, Math.min(configured, descriptors - OTHER_DESCRIPTORS));
}

async function ownDescriptors(): Promise<number> {
  const text = await fs.readFile('/proc/self/limits', 'utf8').catch(() => '');
  return Number(/^Max open files\s+(\d+)/m.exec(text)?.[1] ?? Infinity);
}
