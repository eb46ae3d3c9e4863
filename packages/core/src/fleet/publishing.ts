/** Decides when this instance sends updates about its work, and which. */
import type * as task from '../kernel/task.js';
import type * as gatewayMessages from '../messages/gateway.js';
import * as results from '../results/index.js';
import * as speed from '../speed/index.js';
import type * as decide from './decide.js';
import * as peerUpdates from './peer-updates.js';
import type * as fleet from './state.js';

/** Schedules an update after a change of this instance's work, unless one is scheduled. */
export function schedule(
  state: fleet.State,
  changed: Pick<gatewayMessages.Destination, 'upstream' | 'context'>,
): readonly decide.Command[] {
  if (!peerUpdates.addChange(state.outbox, changed)) return [];
  return [{ kind: 'schedule-peer-update', delayMs: peerUpdates.intervalMs(state) }];
}

/** The updates of a scheduled time. Directly between all instances, only changes are sent. */
export function changes(state: fleet.State, now: task.Instant): readonly decide.Command[] {
  if (state.sharing !== 'with-all') return snapshots(state, now);
  const { update, isMoreLeft } = peerUpdates.takeNext(state, now);
  const again: readonly decide.Command[] = isMoreLeft
    ? [{ kind: 'schedule-peer-update', delayMs: peerUpdates.intervalMs(state) }]
    : [];
  return update ? [{ kind: 'send-peer-update', update }, ...again] : again;
}

/** All work, or the sums of a reader; they replace lost updates. */
export function snapshots(state: fleet.State, now: task.Instant): readonly decide.Command[] {
  switch (state.sharing) {
    case 'with-all':
      return [{ kind: 'send-peer-update', update: peerUpdates.takeSnapshot(state, now) }];
    case 'through-reader':
      peerUpdates.clearOutbox(state.outbox);
      return [{ kind: 'send-peer-update', update: peerUpdates.takeSnapshot(state, now) }];
    case 'as-reader':
      peerUpdates.clearOutbox(state.outbox);
      return peerUpdates
        .takeSummaries(state, now)
        .map((update) => ({ kind: 'send-peer-update', update }));
    default:
      return results.assertNever(state.sharing);
  }
}

/** New samples of the speed of upstreams, once a tick. */
export function speeds(state: fleet.State, now: task.Instant): readonly decide.Command[] {
  return speed.sharing
    .takeUpdates(state, now)
    .map((update) => ({ kind: 'send-speed-update', update }));
}
