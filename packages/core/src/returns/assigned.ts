/** Retry times that this instance assigned, to see whether callers return at them. */
import * as slots from './slots.js';

/** Contents by name, with the wall time at which the caller was told to return; bounded. */
export type Assigned = Map<string, number>;

/** How a return compares with its assigned time. */
export type Return = 'early' | 'met' | 'late';

const MAX_ASSIGNED = 1_024;

export function record(assigned: Assigned, content: string, dueWallMs: number): void {
  assigned.delete(content);
  assigned.set(content, dueWallMs);
  if (assigned.size <= MAX_ASSIGNED) return;
  const [oldest] = assigned.keys();
  if (oldest !== undefined) assigned.delete(oldest);
}

/** Undefined if the request was not refused by this instance. */
export function take(
  assigned: Assigned,
  content: string,
  routeTimeoutMs: number,
  wallMs: number,
): Return | undefined {
  const dueMs = assigned.get(content);
  if (dueMs === undefined) return undefined;
  assigned.delete(content);
  const slotMs = slots.lengthMs(routeTimeoutMs);
  if (wallMs < dueMs - slotMs) return 'early';
  return wallMs <= dueMs + slotMs ? 'met' : 'late';
}
