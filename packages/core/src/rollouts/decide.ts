/**
 * Brings upstreams to the newest weights, a wave at a time, under a lease. Directly before each order
 * the lease is checked against both clocks; an upstream with a higher fencing token seen ends the lease.
 */
import type * as routes from '../gateway/routes.js';
import type * as task from '../kernel/task.js';
import * as leases from '../leases/index.js';
import type * as fleetMessages from '../messages/fleet.js';
import type * as messages from '../messages/rollouts.js';
import * as results from '../results/index.js';
import type * as inputs from './inputs.js';
import * as waves from './wave.js';

/** An order, or the question before it, that is under way at one upstream. */
export type PendingOrder = {
  model: string;
  version: number;
  address: string;
  step: 'asking' | 'ordering' | 'loading';
  startedAtMs: number;
};

export type State = {
  lease: leases.Lease;
  targetVersions: Readonly<Record<string, number>>;
  upstreams: readonly inputs.Upstream[];
  stores: readonly routes.ContextStore[];
  obsoleteParts: readonly inputs.ObsoleteParts[];
  pendingOrders: Readonly<Record<string, PendingOrder>>;
  /** Since when each upstream of the present waves has been kept free of new work. */
  quiescingSinceMs: Readonly<Record<string, number>>;
  isLeaving: boolean;
};

export type Command =
  | leases.Command
  | { kind: 'request-report'; upstream: string; address: string; delayMs: number }
  | { kind: 'order'; order: messages.WeightsOrder }
  /** The list tells of it later than the upstream itself. */
  | { kind: 'report-version'; upstream: string; model: string; version: number }
  | { kind: 'free'; request: fleetMessages.FreeRequest }
  | { kind: 'wake'; delayMs: number }
  | { kind: 'record-order'; upstream: string; text: string; fencing: number };

export type Step = task.Step<State, Command>;

/** How often a load that is under way is asked about: a load takes about 400 ms. */
const REPORT_POLL_MS = 150;
/** An upstream that does not report for this long is asked anew. */
const ORDER_TIMEOUT_MS = 3_000;
/** Short requests have ended by then, and most streams. */
const QUIESCE_MS = 700;
/** Pause between two looks at what is left to do. */
const RECONCILE_INTERVAL_MS = 100;
/** Fencing is checked by the upstreams; see `fencingRequired` of the users' rules. */
const CHECKS_FENCING = { checksFencing: true };

export function initial(terms: leases.Options): State {
  return {
    lease: leases.create(terms),
    targetVersions: {},
    upstreams: [],
    stores: [],
    obsoleteParts: [],
    pendingOrders: {},
    quiescingSinceMs: {},
    isLeaving: false,
  };
}

export function decide(state: State, message: messages.RolloutsMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'task.start':
      return withNextWake(onLease(state, leases.acquire(state.lease, now)));
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
    case 'rollouts.newest-weights-changed':
      return reconcile({ ...state, targetVersions: message.versions }, now);
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
      return withNextWake(reconcile(state, now));
    default:
      return results.assertNever(message);
  }
}

function onLease(state: State, { state: lease, commands }: leases.Step): Step {
  return { state: { ...state, lease }, commands };
}

function withNextWake({ state, commands }: Step): Step {
  return { state, commands: [...commands, { kind: 'wake', delayMs: RECONCILE_INTERVAL_MS }] };
}

function orderPermission({ lease, isLeaving }: State, now: task.Instant): leases.Permission {
  if (isLeaving) return { kind: 'refused', reason: 'not-held' };
  return leases.permit(lease, CHECKS_FENCING, now);
}

/** Starts errands at the upstreams of the present wave, and frees what nobody can read any more. */
function reconcile(given: State, now: task.Instant): Step {
  const permission = orderPermission(given, now);
  if (permission.kind === 'refused') {
    return { state: { ...given, pendingOrders: {} }, commands: [] };
  }
  const drying = quiescingUpstreams(given, now);
  const state = { ...given, pendingOrders: activeOrders(given, now), quiescingSinceMs: drying };
  const wanted = newOrders(state, now);
  const errands = { ...state.pendingOrders, ...Object.fromEntries(wanted) };
  const asks = wanted.map(([upstream, { address }]): Command => ({
    kind: 'request-report',
    upstream,
    address,
    delayMs: 0,
  }));
  const next: State = { ...state, pendingOrders: errands, obsoleteParts: [] };
  return { state: next, commands: [...asks, ...freeObsoleteParts(state)] };
}

function activeOrders({ pendingOrders, upstreams }: State, now: task.Instant) {
  const kept = Object.entries(pendingOrders).filter(([id, { model, version, startedAtMs }]) => {
    const known = upstreams.find((each) => each.id === id);
    const isDone = (known?.versions[model] ?? version) >= version;
    return !isDone && now.monotonicMs - startedAtMs < ORDER_TIMEOUT_MS;
  });
  return Object.fromEntries(kept);
}

/** Upstreams of one model that can be reached, as candidates for its waves. */
function wavesOf({ upstreams }: State, model: string, version: number): waves.Waves {
  const candidates = upstreams
    .filter(({ isReachable, versions }) => isReachable && versions[model] !== undefined)
    .map(({ id, versions }) => ({ id, version: versions[model] ?? 0 }));
  return waves.chooseWaves(model, version, candidates);
}

function quiescingUpstreams(state: State, now: task.Instant): State['quiescingSinceMs'] {
  const ids = Object.entries(state.targetVersions).flatMap(([model, version]) => {
    const { current: present, next } = wavesOf(state, model, version);
    return [...present, ...next];
  });
  return Object.fromEntries(ids.map((id) => [id, state.quiescingSinceMs[id] ?? now.monotonicMs]));
}

function newOrders(state: State, now: task.Instant): readonly [string, PendingOrder][] {
  const isDry = (id: string) =>
    now.monotonicMs - (state.quiescingSinceMs[id] ?? now.monotonicMs) >= QUIESCE_MS;
  return Object.entries(state.targetVersions).flatMap(([model, version]) =>
    wavesOf(state, model, version)
      .current.filter((id) => state.pendingOrders[id] === undefined && isDry(id))
      .map((id): [string, PendingOrder] => [
        id,
        {
          model,
          version,
          address: state.upstreams.find((each) => each.id === id)?.address ?? '',
          step: 'asking',
          startedAtMs: now.monotonicMs,
        },
      ]),
  );
}

function onReported(
  state: State,
  { upstream, answer }: Extract<messages.RolloutsMessage, { type: 'rollouts.status-answered' }>,
  now: task.Instant,
): Step {
  const errand = state.pendingOrders[upstream];
  if (!errand) return { state, commands: [] };
  if (answer.kind === 'no-report') return removeOrder(state, upstream);
  const { report } = answer;
  const version = report.models.find(({ model }) => model === errand.model)?.version ?? 0;
  if (version >= errand.version) {
    const told: Command = { kind: 'report-version', upstream, model: errand.model, version };
    return { state: removeOrder(state, upstream).state, commands: [told] };
  }
  if (report.isBusy || errand.step !== 'asking') return pollLater(state, upstream, errand);
  return order(state, upstream, errand, report.acceptedOrders, now);
}

/** The newest version counts, also if it was named after the errand began. */
function order(
  state: State,
  upstream: string,
  errand: PendingOrder,
  expectedAccepted: number,
  now: task.Instant,
): Step {
  const permission = orderPermission(state, now);
  if (permission.kind === 'refused') return removeOrder(state, upstream);
  const { model, address } = errand;
  const version = state.targetVersions[model] ?? errand.version;
  const { fencing } = permission;
  const { holder } = state.lease.options;
  const ordering: PendingOrder = { ...errand, version, step: 'ordering' };
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
  const errand = state.pendingOrders[upstream];
  const fencing = state.lease.phase.kind === 'held' ? state.lease.phase.grant.fencing : 0;
  const note: Command = { kind: 'record-order', upstream, text: `answer: ${answer}`, fencing };
  if (!errand) return { state, commands: [note] };
  const step = applyOrderAnswer(state, upstream, errand, answer, now);
  return { state: step.state, commands: [note, ...step.commands] };
}

function applyOrderAnswer(
  state: State,
  upstream: string,
  errand: PendingOrder,
  answer: messages.WeightsOrderAnswer,
  now: task.Instant,
): Step {
  switch (answer) {
    case 'accepted':
    case 'already-done':
      return pollLater(state, upstream, { ...errand, step: 'loading' });
    case 'unknown':
    case 'conflict':
      return pollLater(state, upstream, { ...errand, step: 'asking' });
    case 'wrong-upstream':
    case 'refused':
      return removeOrder(state, upstream);
    case 'fenced-off':
      return onLease({ ...state, pendingOrders: {} }, leases.stepDown(state.lease, now));
    default:
      return results.assertNever(answer);
  }
}

function pollLater(state: State, upstream: string, errand: PendingOrder): Step {
  return {
    state: { ...state, pendingOrders: { ...state.pendingOrders, [upstream]: errand } },
    commands: [
      { kind: 'request-report', upstream, address: errand.address, delayMs: REPORT_POLL_MS },
    ],
  };
}

function removeOrder(state: State, upstream: string): Step {
  const { [upstream]: ended, ...errands } = state.pendingOrders;
  return { state: { ...state, pendingOrders: errands }, commands: [] };
}

/** The fleet names parts that no upstream can read any more; each list is carried out once. */
function freeObsoleteParts({ obsoleteParts, stores }: State): readonly Command[] {
  return obsoleteParts.flatMap(({ store, epoch, parts }): readonly Command[] => {
    const address = stores.find(({ name }) => name === store)?.address;
    if (address === undefined) return [];
    return [{ kind: 'free', request: { store, address, epoch, parts } }];
  });
}
