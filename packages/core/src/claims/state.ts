/** The state of the claims task, and what can be read from it without changing it. */
import type * as task from '../kernel/task.js';
import * as attempts from './attempts.js';
import * as pageStates from './page-state.js';
import * as gatherer from './gatherer.js';
import type * as keys from './keys.js';

/** How long a gatherer that was silent is passed over. */
export const DOUBT_MS = 5_000;

export type State = {
  ownName: string;
  incarnation: string;
  nextId: number;
  /** Live instances, this one included. */
  instances: readonly string[];
  /** Gatherers that were silent, and until when they are passed over. */
  doubtedUntilMs: Map<string, number>;
  attempts: Map<string, attempts.Attempt>;
  batches: pageStates.Batches;
  isDraining: boolean;
};
export function initial(incarnation: string, ownName: string): State {
  return {
    ownName,
    incarnation,
    nextId: 1,
    instances: [ownName],
    doubtedUntilMs: new Map(),
    attempts: new Map(),
    batches: pageStates.initial(incarnation),
    isDraining: false,
  };
}

export function chooseGatherer(state: State, place: keys.Place, now: task.Instant): string {
  const trusted = state.instances.filter(
    (name) => (state.doubtedUntilMs.get(name) ?? 0) <= now.monotonicMs,
  );
  return gatherer.gathererOf(place.page, trusted) ?? state.ownName;
}

export function doubtGatherer(state: State, place: keys.Place, now: task.Instant): void {
  const chosen = chooseGatherer(state, place, now);
  if (chosen !== state.ownName) {
    state.doubtedUntilMs.set(chosen, now.monotonicMs + DOUBT_MS);
  }
}

export function scopeOf(state: State, now: task.Instant): pageStates.Scope {
  return {
    batches: state.batches,
    isWanted: (item) => isWanted(state, item, now),
    now,
  };
}

/** A claim is not written any more once nobody waits for it. */
function isWanted(
  state: State,
  { operation, requester, arrivedAtMs }: pageStates.Item,
  now: task.Instant,
): boolean {
  if (requester.kind === 'peer') {
    return now.monotonicMs - arrivedAtMs < attempts.CLAIM_WITHIN_MS;
  }
  const phase = state.attempts.get(operation.attemptId)?.phase;
  return operation.kind === 'record' ? phase !== undefined : phase?.kind === 'claiming';
}
