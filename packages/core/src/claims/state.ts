/** State of the claims task, the choice of coordinators, and the context of batches. */
import type * as task from '../kernel/task.js';
import * as attempts from './attempts.js';
import * as pageStates from './page-state.js';
import * as coordinator from './coordinator.js';
import type * as keys from './keys.js';

/** How long a coordinator that did not reply is skipped. */
export const SUSPICION_MS = 5_000;

export type State = {
  ownName: string;
  incarnation: string;
  nextId: number;
  /** Live instances, including this one. */
  instances: readonly string[];
  /** Coordinators that did not reply, with the monotonic time until which they are skipped. */
  suspectedUntilMs: Map<string, number>;
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
    suspectedUntilMs: new Map(),
    attempts: new Map(),
    batches: pageStates.initial(incarnation),
    isDraining: false,
  };
}

export function chooseCoordinator(state: State, place: keys.Location, now: task.Instant): string {
  const trusted = state.instances.filter(
    (name) => (state.suspectedUntilMs.get(name) ?? 0) <= now.monotonicMs,
  );
  return coordinator.select(place.page, trusted) ?? state.ownName;
}

export function suspectCoordinator(state: State, place: keys.Location, now: task.Instant): void {
  const chosen = chooseCoordinator(state, place, now);
  if (chosen !== state.ownName) {
    state.suspectedUntilMs.set(chosen, now.monotonicMs + SUSPICION_MS);
  }
}

export function batchContext(state: State, now: task.Instant): pageStates.BatchContext {
  return {
    batches: state.batches,
    isStillNeeded: (item) => isStillNeeded(state, item, now),
    now,
  };
}

/** An operation is not written any more once no requester waits for it. */
function isStillNeeded(
  state: State,
  { operation, requester, arrivedAtMs }: pageStates.PendingOperation,
  now: task.Instant,
): boolean {
  if (requester.kind === 'peer') {
    return now.monotonicMs - arrivedAtMs < attempts.CLAIM_TIMEOUT_MS;
  }
  const phase = state.attempts.get(operation.attemptId)?.phase;
  return operation.kind === 'record' ? phase !== undefined : phase?.kind === 'claiming';
}
