/**
 * The instances among which the rate of an upstream is divided. One that has left the list of members
 * counts for some time: it may not have heard of it, or may be the one that others have lost sight of.
 */
import type * as task from '../kernel/task.js';
import type * as fleet from './state.js';

/** Longer than it takes until all instances know of a change of the members. */
const RETENTION_MS = 8_000;

/** Applies a new list of members. */
export function withMembers(
  state: fleet.State,
  members: readonly string[],
  now: task.Instant,
): fleet.State {
  const left = state.members.filter((name) => !members.includes(name));
  const formerMembers = new Map([
    ...[...state.formerMembers].filter(([name]) => !members.includes(name)),
    ...left.map((name) => [name, now.monotonicMs] as const),
  ]);
  return { ...state, members, formerMembers, senders: [...members, ...formerMembers.keys()] };
}

/** Forgets former members; the same state if there are none to forget. */
export function expire(state: fleet.State, now: task.Instant): fleet.State {
  const kept = [...state.formerMembers].filter(
    ([, leftAtMs]) => now.monotonicMs - leftAtMs < RETENTION_MS,
  );
  if (kept.length === state.formerMembers.size) return state;
  const formerMembers = new Map(kept);
  return { ...state, formerMembers, senders: [...state.members, ...formerMembers.keys()] };
}
