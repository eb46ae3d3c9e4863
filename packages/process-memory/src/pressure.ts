/** Decides when buffers that are out of use are collected. */

const MB = 1_024 * 1_024;

/** `young` finds what came and went since the last collection, `all` also what was kept for a while. */
export type Collection = 'none' | 'young' | 'all';

/** Resident memory, in bytes, above which each kind of collection is worth its time. */
export type Watermarks = { youngBytes: number; allBytes: number };

/** Bytes allocated outside the heap since the last measurement, and kept since the last collection of all. */
export type State = { allocatedBytes: number; keptBytes: number };

export type Step = { state: State; collection: Collection };

const MEASUREMENT_INTERVAL_BYTES = 4 * MB;
/** A collection of all takes tens of milliseconds, one of the young a few. */
const ALL_INTERVAL_BYTES = 8 * MB;

export const initial: State = { allocatedBytes: 0, keptBytes: 0 };

export function allocate({ allocatedBytes, keptBytes }: State, bytes: number): State {
  return { allocatedBytes: allocatedBytes + bytes, keptBytes };
}

export function keep({ allocatedBytes, keptBytes }: State, bytes: number): State {
  return { allocatedBytes: allocatedBytes + bytes, keptBytes: keptBytes + bytes };
}

export function isMeasurementDue({ allocatedBytes }: State): boolean {
  return allocatedBytes >= MEASUREMENT_INTERVAL_BYTES;
}

export function measure(
  { keptBytes }: State,
  residentBytes: number,
  { youngBytes, allBytes }: Watermarks,
): Step {
  const isAllDue = residentBytes > allBytes && keptBytes >= ALL_INTERVAL_BYTES;
  if (isAllDue) return { state: initial, collection: 'all' };
  const collection = residentBytes > youngBytes ? 'young' : 'none';
  return { state: { allocatedBytes: 0, keptBytes }, collection };
}
