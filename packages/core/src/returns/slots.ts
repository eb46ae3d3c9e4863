/**
 * Time slots in which a request takes precedence over others of its rank. They follow from the wall clock and
 * from what the request asks for, so each instance recognises a caller that returns at its assigned time without
 * having been told. Nothing is held: after a jump of a clock, other requests have precedence.
 */
import * as rendezvous from '../membership/rendezvous.js';

/** A request has precedence in one of so many successive slots. */
const SLOTS_PER_CYCLE = 6;
/**
 * Cycles in the time-out of a route. A caller heeds up to a third of the time that it has left, and has a slot of
 * its own within that at its first, second and third refusal.
 */
const CYCLES_PER_TIMEOUT = 8;
/** Shorter slots would pass while a request is on its way, or between clocks that differ by some ms. */
const MIN_SLOT_MS = 100;
/** Error of a wall clock up to which a return is recognised. */
const CLOCK_ERROR_MS = 20;

/** Length of one slot of a route, in ms. */
export function lengthMs(routeTimeoutMs: number): number {
  return Math.max(MIN_SLOT_MS, routeTimeoutMs / (CYCLES_PER_TIMEOUT * SLOTS_PER_CYCLE));
}

function offsetMs(content: string, slotMs: number): number {
  const slot = Math.floor(rendezvous.hashFraction('return-slot', content) * SLOTS_PER_CYCLE);
  return slot * slotMs;
}

/** Time since the last start of a slot of the request, in ms; below `lengthMs` within the slot. */
function sinceStartMs(content: string, slotMs: number, wallMs: number): number {
  const cycleMs = slotMs * SLOTS_PER_CYCLE;
  const since = (wallMs - offsetMs(content, slotMs)) % cycleMs;
  return since < 0 ? since + cycleMs : since;
}

/** Whether the request has precedence at this time. */
export function hasPrecedence(content: string, routeTimeoutMs: number, wallMs: number): boolean {
  const slotMs = lengthMs(routeTimeoutMs);
  const since = sinceStartMs(content, slotMs, wallMs);
  return since < slotMs + CLOCK_ERROR_MS || since >= slotMs * SLOTS_PER_CYCLE - CLOCK_ERROR_MS;
}

/** Time until the start of the first slot of the request that begins at `earliestMs` from now or later. */
export function untilSlotMs(
  content: string,
  routeTimeoutMs: number,
  wallMs: number,
  earliestMs: number,
): number {
  const slotMs = lengthMs(routeTimeoutMs);
  const since = sinceStartMs(content, slotMs, wallMs + earliestMs);
  return since === 0 ? earliestMs : earliestMs + slotMs * SLOTS_PER_CYCLE - since;
}
