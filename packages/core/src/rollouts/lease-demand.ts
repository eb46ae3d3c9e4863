/**
 * Decides when this instance acquires and releases the lease for orders. While no order is due, no
 * instance makes a call to the platform for it.
 */
import * as leases from '../leases/index.js';
import type * as task from '../kernel/task.js';
import * as results from '../results/index.js';
import type * as rollouts from './decide.js';

/** `sinceMs`: when the demand began or ended, in monotonic ms. */
export type Demand = { kind: 'none'; sinceMs: number } | { kind: 'present'; sinceMs: number };

export const NONE: Demand = { kind: 'none', sinceMs: -Infinity };

/** Orders of one roll-out come with pauses of up to about a second between them. */
const RELEASE_AFTER_MS = 2_000;

/** Whether an upstream has older weights than the newest, or a store has obsolete parts. */
function hasOrders({
  targets,
  upstreams,
  obsoleteParts,
  pendingOrders,
  isLeaving,
}: rollouts.State): boolean {
  if (isLeaving) return false;
  return (
    obsoleteParts.length > 0 ||
    Object.keys(pendingOrders).length > 0 ||
    upstreams.some(({ versions }) =>
      Object.entries(versions).some(
        ([model, version]) => version < (targets.get(model)?.version ?? version),
      ),
    )
  );
}

/** Updates the demand, and acquires or releases the lease if that is due. */
export function follow(given: rollouts.State, now: task.Instant): rollouts.Step {
  const kind: Demand['kind'] = hasOrders(given) ? 'present' : 'none';
  const demand: Demand =
    kind === given.demand.kind ? given.demand : { kind, sinceMs: now.monotonicMs };
  const state: rollouts.State = { ...given, demand };
  const step = changeLease(state, now.monotonicMs - demand.sinceMs, now);
  return step
    ? { state: { ...state, lease: step.state }, commands: step.commands }
    : { state, commands: [] };
}

function changeLease(
  { demand, lease, acquireDelayMs }: rollouts.State,
  forMs: number,
  now: task.Instant,
): leases.Step | undefined {
  const isIdle = lease.phase.kind === 'idle' || lease.phase.kind === 'releasing';
  switch (demand.kind) {
    case 'present':
      return isIdle && forMs >= acquireDelayMs ? leases.acquire(lease, now) : undefined;
    case 'none':
      return !isIdle && forMs >= RELEASE_AFTER_MS ? leases.release(lease, now) : undefined;
    default:
      return results.assertNever(demand);
  }
}

/** Whether the task has to be woken to acquire, use or release the lease. */
export function isActive({ demand, lease }: rollouts.State): boolean {
  return demand.kind === 'present' || lease.phase.kind !== 'idle';
}
