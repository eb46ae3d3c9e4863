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
  /** Since when nothing is left to load; parts of replaced weights are freed a while later. */
  settledAtMs: number | undefined;
  errands: Readonly<Record<string, Errand>>;
  isLeaving: boolean;
};

export type Command =
  | leases.Command
  | { kind: 'ask-report'; upstream: string; address: string; delayMs: number }
  | { kind: 'order'; order: messages.Order }
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
/** Pause between two looks at what is left to do. */
const WAKE_MS = 200;
/** After the last load, fetches of replaced context that were under way have ended by then. */
const SETTLE_MS = 4_000;
/** Fencing is checked by the upstreams; see `fencingRequired` of the users' rules. */
const CHECKS_FENCING = { checksFencing: true };

export function initial(terms: leases.Terms): State {
  return {
    lease: leases.create(terms),
    named: {},
    upstreams: [],
    stores: [],
    replaced: [],
    settledAtMs: undefined,
    errands: {},
    isLeaving: false,
  };
}

export function decide(state: State, message: messages.RolloutsMessage, now: task.Instant): Step {
  switch (message.type) {
    case 'task.start':
      return withWake(onLease(state, leases.acquire(state.lease, now)));
    case 'task.leave':
      return onLease({ ...state, isLeaving: true, errands: {} }, leases.release(state.lease, now));
    case 'task.stop':
      return { state, commands: [] };
    case 'platform.answered':
      return onLease(state, leases.onAnswer(state.lease, message, now));
    case 'rollouts.lease-wake':
      return onLease(state, leases.wake(state.lease, now));
    case 'rollouts.named':
      return advance({ ...state, named: message.versions }, now);
    case 'rollouts.upstreams':
      return advance({ ...state, upstreams: message.upstreams }, now);
    case 'rollouts.stores':
      return { state: { ...state, stores: message.stores, replaced: message.held }, commands: [] };
    case 'rollouts.reported':
      return onReported(state, message, now);
    case 'rollouts.ordered':
      return onOrdered(state, message, now);
    case 'rollouts.wake':
      return withWake(advance(state, now));
    default:
      return results.never(message);
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
  const state = { ...given, errands: withoutEnded(given, now) };
  const wanted = wantedErrands(state, now);
  const errands = { ...state.errands, ...Object.fromEntries(wanted) };
  const asks = wanted.map(([upstream, { address }]): Command => ({
    kind: 'ask-report',
    upstream,
    address,
    delayMs: 0,
  }));
  const settledAtMs = isSettled(state) ? (state.settledAtMs ?? now.monotonicMs) : undefined;
  const next: State = { ...state, errands, settledAtMs };
  return { state: next, commands: [...asks, ...freeReplaced(next, now)] };
}

function isSettled({ errands, named, upstreams }: State): boolean {
  if (Object.keys(errands).length > 0) return false;
  return Object.entries(named).every(([model, version]) =>
    upstreams.every(({ versions }) => (versions[model] ?? version) >= version),
  );
}

function withoutEnded({ errands, upstreams }: State, now: task.Instant) {
  const kept = Object.entries(errands).filter(([id, { model, version, startedAtMs }]) => {
    const known = upstreams.find((each) => each.id === id);
    const isDone = (known?.versions[model] ?? version) >= version;
    return !isDone && now.monotonicMs - startedAtMs < ERRAND_TIMEOUT_MS;
  });
  return Object.fromEntries(kept);
}

function wantedErrands(state: State, now: task.Instant): readonly [string, Errand][] {
  return Object.entries(state.named).flatMap(([model, version]) => {
    const serving = state.upstreams.filter((each) => each.versions[model] !== undefined);
    const candidates = serving
      .filter(({ isReachable }) => isReachable)
      .map(({ id, versions }) => ({ id, version: versions[model] ?? 0 }));
    return waves
      .wave(model, version, candidates)
      .filter((id) => state.errands[id] === undefined)
      .map((id): [string, Errand] => [
        id,
        {
          model,
          version,
          address: serving.find((each) => each.id === id)?.address ?? '',
          step: 'asking',
          startedAtMs: now.monotonicMs,
        },
      ]);
  });
}

function onReported(
  state: State,
  { upstream, answer }: Extract<messages.RolloutsMessage, { type: 'rollouts.reported' }>,
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
  return order(state, upstream, errand, report.accepted, now);
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
        order: { upstream, address, model, version, fencing, holder, expectedAccepted },
      },
      { kind: 'note-order', upstream, text: `order ${model}@${version}`, fencing },
    ],
  };
}

function onOrdered(
  state: State,
  { upstream, answer }: Extract<messages.RolloutsMessage, { type: 'rollouts.ordered' }>,
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
  answer: messages.OrderAnswer,
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
      return results.never(answer);
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

/** Fetches name a version that the upstream has, so none can begin once no upstream has it. */
function freeReplaced(
  { replaced, stores, settledAtMs }: State,
  now: task.Instant,
): readonly Command[] {
  if (settledAtMs === undefined || now.monotonicMs - settledAtMs < SETTLE_MS) return [];
  return replaced.flatMap(({ store, epoch, parts }) => {
    const address = stores.find(({ name }) => name === store)?.address;
    if (address === undefined) return [];
    return [{ kind: 'free', request: { store, address, epoch, parts } }];
  });
}
