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
import type * as view from './view.js';
import * as waves from './wave.js';

/** An order, or the question before it, that is under way at one upstream. */
export type Errand = {
  model: string;
  version: number;
  address: string;
  step: 'asking' | 'ordering' | 'loading';
  startedAtMs: number;
};

export type State = {
  lease: leases.Lease;
  named: Readonly<Record<string, number>>;
  upstreams: readonly view.RolledUpstream[];
  stores: readonly routes.ContextStore[];
  replaced: readonly view.Held[];
  errands: Readonly<Record<string, Errand>>;
  /** Since when each upstream of the present waves has been kept free of new work. */
  dryingSinceMs: Readonly<Record<string, number>>;
  isLeaving: boolean;
};

export type Command =
  | leases.Command
  | { kind: 'ask-report'; upstream: string; address: string; delayMs: number }
  | { kind: 'order'; order: messages.WeightsOrder }
  /** The list tells of it later than the upstream itself. */
  | { kind: 'tell-version'; upstream: string; model: string; version: number }
  | { kind: 'free'; request: fleetMessages.FreeRequest }
  | { kind: 'wake'; delayMs: number }
  | { kind: 'note-order'; upstream: string; text: string; fencing: number };

export type Step = task.Step<State, Command>;

/** How often a load that is under way is asked about: a load takes about 400 ms. */
const REPORT_MS = 150;
/** An upstream that does not report for this long is asked anew. */
const ERRAND_TIMEOUT_MS = 3_000;
/** Short requests have ended by then, and most streams. */
const DRY_MS = 700;
/** Pause between two looks at what is left to do. */
const WAKE_MS = 100;
/** Fencing is checked by the upstreams; see `fencingRequired` of the users' rules. */
const CHECKS_FENCING = { checksFencing: true };

export function initial(terms: leases.Terms): State {
  return {
    lease: leases.create(terms),
    named: {},
    upstreams: [],
    stores: [],
    replaced: [],
    errands: {},
    dryingSinceMs: {},
    isLeaving: false,
  };
}

export function decide(state: State, message: messages.RolloutsMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'task.start':
      return withWake(onLease(state, leases.acquire(state.lease, now)));
    case 'task.drain':
      return onLease({ ...state, isLeaving: true, errands: {} }, leases.release(state.lease, now));
    case 'task.stop':
      return { state, commands: [] };
    case 'platform.answered':
      return onLease(state, leases.onAnswer(state.lease, message, now));
    case 'rollouts.lease-tick':
      return onLease(state, leases.wake(state.lease, now));
    case 'rollouts.newest-weights-changed':
      return advance({ ...state, named: message.versions }, now);
    case 'rollouts.upstreams-changed':
      return advance({ ...state, upstreams: message.upstreams }, now);
    case 'rollouts.stores-changed':
      return { state: { ...state, stores: message.stores, replaced: message.held }, commands: [] };
    case 'rollouts.status-answered':
      return onReported(state, message, now);
    case 'rollouts.order-answered':
      return onOrdered(state, message, now);
    case 'rollouts.tick':
      return withWake(advance(state, now));
    default:
      return results.assertNever(message);
  }
}

function onLease(state: State, { state: lease, commands }: leases.Step): Step {
  return { state: { ...state, lease }, commands };
}

function withWake({ state, commands }: Step): Step {
  return { state, commands: [...commands, { kind: 'wake', delayMs: WAKE_MS }] };
}

function mayAct({ lease, isLeaving }: State, now: task.Instant): leases.Permission {
  if (isLeaving) return { kind: 'refused', reason: 'not-held' };
  return leases.permit(lease, CHECKS_FENCING, now);
}

/** Starts errands at the upstreams of the present wave, and frees what nobody can read any more. */
function advance(given: State, now: task.Instant): Step {
  const permission = mayAct(given, now);
  if (permission.kind === 'refused') return { state: { ...given, errands: {} }, commands: [] };
  const drying = dryingOf(given, now);
  const state = { ...given, errands: withoutEnded(given, now), dryingSinceMs: drying };
  const wanted = wantedErrands(state, now);
  const errands = { ...state.errands, ...Object.fromEntries(wanted) };
  const asks = wanted.map(([upstream, { address }]): Command => ({
    kind: 'ask-report',
    upstream,
    address,
    delayMs: 0,
  }));
  const next: State = { ...state, errands, replaced: [] };
  return { state: next, commands: [...asks, ...freeReplaced(state)] };
}

function withoutEnded({ errands, upstreams }: State, now: task.Instant) {
  const kept = Object.entries(errands).filter(([id, { model, version, startedAtMs }]) => {
    const known = upstreams.find((each) => each.id === id);
    const isDone = (known?.versions[model] ?? version) >= version;
    return !isDone && now.monotonicMs - startedAtMs < ERRAND_TIMEOUT_MS;
  });
  return Object.fromEntries(kept);
}

/** Upstreams of one model that can be reached, as candidates for its waves. */
function wavesOf({ upstreams }: State, model: string, version: number): waves.Waves {
  const candidates = upstreams
    .filter(({ isReachable, versions }) => isReachable && versions[model] !== undefined)
    .map(({ id, versions }) => ({ id, version: versions[model] ?? 0 }));
  return waves.waves(model, version, candidates);
}

function dryingOf(state: State, now: task.Instant): State['dryingSinceMs'] {
  const ids = Object.entries(state.named).flatMap(([model, version]) => {
    const { now: present, next } = wavesOf(state, model, version);
    return [...present, ...next];
  });
  return Object.fromEntries(ids.map((id) => [id, state.dryingSinceMs[id] ?? now.monotonicMs]));
}

function wantedErrands(state: State, now: task.Instant): readonly [string, Errand][] {
  const isDry = (id: string) =>
    now.monotonicMs - (state.dryingSinceMs[id] ?? now.monotonicMs) >= DRY_MS;
  return Object.entries(state.named).flatMap(([model, version]) =>
    wavesOf(state, model, version)
      .now.filter((id) => state.errands[id] === undefined && isDry(id))
      .map((id): [string, Errand] => [
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
  const errand = state.errands[upstream];
  if (!errand) return { state, commands: [] };
  if (answer.kind === 'no-report') return forget(state, upstream);
  const { report } = answer;
  const version = report.models.find(({ model }) => model === errand.model)?.version ?? 0;
  if (version >= errand.version) {
    const told: Command = { kind: 'tell-version', upstream, model: errand.model, version };
    return { state: forget(state, upstream).state, commands: [told] };
  }
  if (report.isBusy || errand.step !== 'asking') return askLater(state, upstream, errand);
  return order(state, upstream, errand, report.acceptedOrders, now);
}

/** The newest version counts, also if it was named after the errand began. */
function order(
  state: State,
  upstream: string,
  errand: Errand,
  expectedAccepted: number,
  now: task.Instant,
): Step {
  const permission = mayAct(state, now);
  if (permission.kind === 'refused') return forget(state, upstream);
  const { model, address } = errand;
  const version = state.named[model] ?? errand.version;
  const { fencing } = permission;
  const { holder } = state.lease.terms;
  const ordering: Errand = { ...errand, version, step: 'ordering' };
  return {
    state: { ...state, errands: { ...state.errands, [upstream]: ordering } },
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
      { kind: 'note-order', upstream, text: `order ${model}@${version}`, fencing },
    ],
  };
}

function onOrdered(
  state: State,
  { upstream, answer }: Extract<messages.RolloutsMessage, { type: 'rollouts.order-answered' }>,
  now: task.Instant,
): Step {
  const errand = state.errands[upstream];
  const fencing = state.lease.phase.kind === 'held' ? state.lease.phase.grip.fencing : 0;
  const note: Command = { kind: 'note-order', upstream, text: `answer: ${answer}`, fencing };
  if (!errand) return { state, commands: [note] };
  const step = afterAnswer(state, upstream, errand, answer, now);
  return { state: step.state, commands: [note, ...step.commands] };
}

function afterAnswer(
  state: State,
  upstream: string,
  errand: Errand,
  answer: messages.WeightsOrderAnswer,
  now: task.Instant,
): Step {
  switch (answer) {
    case 'accepted':
    case 'already-done':
      return askLater(state, upstream, { ...errand, step: 'loading' });
    case 'unknown':
    case 'conflict':
      return askLater(state, upstream, { ...errand, step: 'asking' });
    case 'wrong-upstream':
    case 'refused':
      return forget(state, upstream);
    case 'fenced-off':
      return onLease({ ...state, errands: {} }, leases.abandon(state.lease, now));
    default:
      return results.assertNever(answer);
  }
}

function askLater(state: State, upstream: string, errand: Errand): Step {
  return {
    state: { ...state, errands: { ...state.errands, [upstream]: errand } },
    commands: [{ kind: 'ask-report', upstream, address: errand.address, delayMs: REPORT_MS }],
  };
}

function forget(state: State, upstream: string): Step {
  const { [upstream]: ended, ...errands } = state.errands;
  return { state: { ...state, errands }, commands: [] };
}

/** The fleet names parts that no upstream can read any more; each list is carried out once. */
function freeReplaced({ replaced, stores }: State): readonly Command[] {
  return replaced.flatMap(({ store, epoch, parts }): readonly Command[] => {
    const address = stores.find(({ name }) => name === store)?.address;
    if (address === undefined) return [];
    return [{ kind: 'free', request: { store, address, epoch, parts } }];
  });
}
