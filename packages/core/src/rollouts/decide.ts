/**
 * Moves upstreams to the newest weights, one wave at a time, as the lease holder. Immediately before each
 * order, the lease is checked against the monotonic and the wall clock. If an upstream reports that it has
 * seen a higher fencing token, this instance gives up the lease.
 */
import type * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import * as leases from '../leases/index.js';
import type * as fleetMessages from '../messages/fleet.js';
import type * as messages from '../messages/rollouts.js';
import * as results from '../results/index.js';
import type * as inputs from './inputs.js';
import * as leaseDemand from './lease-demand.js';
import * as obsoleteParts from './obsolete-parts.js';
import * as schedule from './schedule.js';
import * as targets from './targets.js';

/** An order in flight at one upstream, or the status request before it. */
export type PendingOrder = {
  model: string;
  version: number;
  address: string;
  step: 'asking' | 'ordering' | 'loading';
  startedAtMs: number;
};

export type State = {
  lease: leases.Lease;
  targets: targets.Targets;
  /** Time from the naming of a version until no request may begin on older ones. */
  rolloutMs: number;
  upstreams: readonly inputs.Upstream[];
  stores: readonly routes.ContextStore[];
  obsoleteParts: readonly inputs.ObsoleteParts[];
  pendingOrders: Readonly<Record<string, PendingOrder>>;
  /** Time since which each upstream of the current and next waves has received no new work. */
  quiescingSinceMs: Readonly<Record<string, number>>;
  /** Whether there are orders to send, which only the holder of the lease may send. */
  demand: leaseDemand.Demand;
  /** How long the demand lasts before this instance makes its first call for the lease. */
  acquireDelayMs: number;
  /** Whether a `wake` is on its way. */
  isWakeDue: boolean;
  isLeaving: boolean;
};

export type Command =
  | leases.Command
  | { kind: 'request-report'; upstream: string; address: string; delayMs: number }
  | { kind: 'order'; order: messages.WeightsOrder }
  /** The platform's list shows the new version later than the upstream reports it. */
  | { kind: 'report-version'; upstream: string; model: string; version: number }
  | { kind: 'free'; request: fleetMessages.FreeRequest }
  | { kind: 'wake'; delayMs: number }
  | { kind: 'record-order'; upstream: string; text: string; fencing: number };

export type Step = task.Step<State, Command>;

/** Interval of status requests during a load, which takes about 400 ms. */
const REPORT_POLL_MS = 150;
const RECONCILE_INTERVAL_MS = 100;
/** The same without the lease, when there is nothing to order. */
const STANDBY_INTERVAL_MS = 500;
/** The upstreams check the fencing token; see `fencingRequired` of the users' rules. */
const CHECKS_FENCING = { checksFencing: true };

export function initial(terms: leases.Options, rolloutMs: number): State {
  const lease = leases.create(terms);
  return {
    lease,
    targets: new Map(),
    rolloutMs,
    upstreams: [],
    stores: [],
    obsoleteParts: [],
    pendingOrders: {},
    quiescingSinceMs: {},
    demand: leaseDemand.NONE,
    acquireDelayMs: leases.standby.acquireDelayMs(lease, []),
    isWakeDue: false,
    isLeaving: false,
  };
}

export function decide(given: State, message: messages.RolloutsMessage, now: task.Instant): Step {
  const handled = handle(given, message, now);
  if (message.type === 'task.stop') return handled;
  const { state, commands } = leaseDemand.follow(handled.state, now);
  return withNextWake(given, { state, commands: [...handled.commands, ...commands] });
}

function handle(state: State, message: messages.RolloutsMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'task.start':
      return { state, commands: [] };
    case 'task.drain':
      return onLease(
        { ...state, isLeaving: true, pendingOrders: {} },
        leases.release(state.lease, now),
      );
    case 'task.stop':
      return { state, commands: [] };
    case 'platform.answered':
      return onLease(state, leases.onPlatformAnswer(state.lease, message, now));
    case 'rollouts.lease-tick':
      return onLease(state, leases.wake(state.lease, now));
    case 'rollouts.members-changed': {
      const lease = leases.standby.withMembers(state.lease, message.names);
      const acquireDelayMs = leases.standby.acquireDelayMs(lease, message.names);
      return { state: { ...state, lease, acquireDelayMs }, commands: [] };
    }
    case 'rollouts.target-versions-changed':
      return onTargets(state, message, now);
    case 'rollouts.upstreams-changed':
      return reconcile({ ...state, upstreams: message.upstreams }, now);
    case 'rollouts.stores-changed':
      return {
        state: { ...state, stores: message.stores, obsoleteParts: message.obsoleteParts },
        commands: [],
      };
    case 'rollouts.status-answered':
      return onReported(state, message, now);
    case 'rollouts.order-answered':
      return onOrdered(state, message, now);
    case 'rollouts.tick':
      return reconcile({ ...state, isWakeDue: false }, now);
    default:
      return results.assertNever(message);
  }
}

/** Versions that were there when this process started set no pace: when they were named is not known. */
function onTargets(
  state: State,
  {
    versions,
    namedAfter,
  }: Extract<messages.RolloutsMessage, { type: 'rollouts.target-versions-changed' }>,
  now: task.Instant,
): Step {
  const since = Number.isFinite(namedAfter.monotonicMs) ? namedAfter : now;
  return reconcile({ ...state, targets: targets.update(state.targets, versions, since) }, now);
}

function onLease(state: State, { state: lease, commands }: leases.Step): Step {
  return { state: { ...state, lease }, commands };
}

/** The wake that is due is replaced by an earlier one when the instance has become the holder. */
function withNextWake(before: State, { state, commands }: Step): Step {
  const isHolder = state.lease.phase.kind === 'held';
  const hasBecomeHolder = isHolder && before.lease.phase.kind !== 'held';
  const isScheduled = state.isWakeDue && !hasBecomeHolder;
  if (isScheduled || !leaseDemand.isActive(state)) return { state, commands };
  const delayMs = isHolder ? RECONCILE_INTERVAL_MS : STANDBY_INTERVAL_MS;
  return {
    state: { ...state, isWakeDue: true },
    commands: [...commands, { kind: 'wake', delayMs }],
  };
}

function orderPermission({ lease, isLeaving }: State, now: task.Instant): leases.Permission {
  if (isLeaving) return { kind: 'refused', reason: 'not-held' };
  return leases.permit(lease, CHECKS_FENCING, now);
}

/** Requests a status from upstreams of the current wave that have quiesced, and frees obsolete parts. */
function reconcile(given: State, now: task.Instant): Step {
  const permission = orderPermission(given, now);
  if (permission.kind === 'refused') {
    return { state: { ...given, pendingOrders: {} }, commands: [] };
  }
  const quiescingSinceMs = schedule.quiescingUpstreams(given, now);
  const state = { ...given, pendingOrders: schedule.activeOrders(given, now), quiescingSinceMs };
  const added = schedule.newOrders(state, now);
  const pendingOrders = { ...state.pendingOrders, ...Object.fromEntries(added) };
  const requests = added.map(([upstream, { address }]): Command => ({
    kind: 'request-report',
    upstream,
    address,
    delayMs: 0,
  }));
  const next: State = { ...state, pendingOrders, obsoleteParts: [] };
  return { state: next, commands: [...requests, ...obsoleteParts.free(state)] };
}

function onReported(
  state: State,
  { upstream, answer }: Extract<messages.RolloutsMessage, { type: 'rollouts.status-answered' }>,
  now: task.Instant,
): Step {
  const pending = state.pendingOrders[upstream];
  if (!pending) return { state, commands: [] };
  if (answer.kind === 'no-report') return removeOrder(state, upstream);
  const { report } = answer;
  const version = report.models.find(({ model }) => model === pending.model)?.version ?? 0;
  if (version >= pending.version) {
    const reported: Command = { kind: 'report-version', upstream, model: pending.model, version };
    return { state: removeOrder(state, upstream).state, commands: [reported] };
  }
  if (report.isBusy || pending.step !== 'asking') return pollLater(state, upstream, pending);
  return order(state, upstream, pending, report.acceptedOrders, now);
}

/** Orders the newest target version, even if it was set after the pending order was created. */
function order(
  state: State,
  upstream: string,
  pending: PendingOrder,
  expectedAccepted: number,
  now: task.Instant,
): Step {
  const permission = orderPermission(state, now);
  if (permission.kind === 'refused') return removeOrder(state, upstream);
  const { model, address } = pending;
  const version = state.targets.get(model)?.version ?? pending.version;
  const { fencing } = permission;
  const { holder } = state.lease.options;
  const ordering: PendingOrder = { ...pending, version, step: 'ordering' };
  return {
    state: { ...state, pendingOrders: { ...state.pendingOrders, [upstream]: ordering } },
    commands: [
      {
        kind: 'order',
        order: {
          upstream,
          address,
          model,
          version,
          fencing,
          holder,
          expectedAcceptedOrders: expectedAccepted,
        },
      },
      { kind: 'record-order', upstream, text: `order ${model}@${version}`, fencing },
    ],
  };
}

function onOrdered(
  state: State,
  { upstream, answer }: Extract<messages.RolloutsMessage, { type: 'rollouts.order-answered' }>,
  now: task.Instant,
): Step {
  const pending = state.pendingOrders[upstream];
  const fencing = state.lease.phase.kind === 'held' ? state.lease.phase.grant.fencing : 0;
  const record: Command = { kind: 'record-order', upstream, text: `answer: ${answer}`, fencing };
  if (!pending) return { state, commands: [record] };
  const step = applyOrderAnswer(state, upstream, pending, answer, now);
  return { state: step.state, commands: [record, ...step.commands] };
}

function applyOrderAnswer(
  state: State,
  upstream: string,
  pending: PendingOrder,
  answer: messages.WeightsOrderAnswer,
  now: task.Instant,
): Step {
  switch (answer) {
    case 'accepted':
    case 'already-done':
      return pollLater(state, upstream, { ...pending, step: 'loading' });
    case 'unknown':
    case 'conflict':
      return pollLater(state, upstream, { ...pending, step: 'asking' });
    case 'wrong-upstream':
    case 'refused':
      return removeOrder(state, upstream);
    case 'fenced-off':
      return onLease({ ...state, pendingOrders: {} }, leases.stepDown(state.lease, now));
    default:
      return results.assertNever(answer);
  }
}

function pollLater(state: State, upstream: string, pending: PendingOrder): Step {
  return {
    state: { ...state, pendingOrders: { ...state.pendingOrders, [upstream]: pending } },
    commands: [
      { kind: 'request-report', upstream, address: pending.address, delayMs: REPORT_POLL_MS },
    ],
  };
}

function removeOrder(state: State, upstream: string): Step {
  const { [upstream]: ended, ...pendingOrders } = state.pendingOrders;
  return { state: { ...state, pendingOrders }, commands: [] };
}
