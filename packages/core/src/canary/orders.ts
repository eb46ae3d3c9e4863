/** Applies the orders that operators write, change and remove. */
import type * as task from '../kernel/task.js';
import type * as messages from '../messages/canary.js';
import * as records from './records.js';
import * as canaryState from './state.js';
import * as steps from './steps.js';
import type * as canary from './types.js';

type State = canaryState.State;
type Running = canaryState.Running;
type Step = canaryState.Step;

/** Limit of the versions that one service's earlier orders left behind. */
const MAX_SHUNNED = 8;

export function read(state: State, update: messages.OrdersRead, now: task.Instant): Step {
  const present = new Set([...update.orders.map(({ name }) => name), ...update.unreadable]);
  const absent = update.isSnapshot
    ? [...state.releases.keys()].filter((name) => !present.has(name))
    : update.removed;
  // An old copy may lack an order that was given after it was made.
  const removed = update.isFromCopy ? [] : absent;
  const withRemovals = removed.reduce<Step>(
    (step, name) => chain(step, remove(step.state, name, now)),
    { state, commands: [] },
  );
  return update.orders.reduce<Step>(
    (step, order) => chain(step, apply(step.state, order, update.isFromCopy, now)),
    withRemovals,
  );
}

function chain(before: Step, { state, commands }: Step): Step {
  return { state, commands: [...before.commands, ...commands] };
}

function apply(state: State, order: canary.Order, isFromCopy: boolean, now: task.Instant): Step {
  const known = state.releases.get(order.name);
  const isSame = known && known.order.service === order.service && known.order.to === order.to;
  if (!isSame) return begin(state, order, known, now);
  const hasEnded = !canaryState.isOpen(known);
  const isOpenAgain = hasEnded && canaryState.isOpen({ ...known, order });
  // The operator has written the order once more.
  if (isOpenAgain && !isFromCopy) return begin(state, order, undefined, now);
  const ended = isFromCopy ? forgetStored(isOpenAgain ? reopened(known) : known) : known;
  const running: Running = { ...ended, isRemoved: false, order };
  const closed = hasEnded || canaryState.isOpen(running) ? running : close(running);
  const isChanged = closed.order.status?.state !== known.order.status?.state;
  return {
    state: canaryState.withRelease(state, closed),
    commands: isChanged
      ? [records.create('releaseWritten', closed, order.status?.state ?? 'none', now)]
      : [],
  };
}

/** The stored progress may have gone back too, so it is written again. */
function forgetStored(known: Running): Running {
  return { ...known, progress: canaryState.NO_PROGRESS };
}

/** An old copy of the store has forgotten the end of the release, which is written again. */
function reopened(known: Running): Running {
  return known.order.status?.state === 'rolled_back'
    ? { ...known, step: 0, isBad: true }
    : { ...known, step: steps.COMPLETING_STEP };
}

/** The versions that are replaced stop at once; a version that was rolled back drains. */
function close(running: Running): Running {
  const { order, versions } = running;
  const others = (versions?.versions ?? [])
    .map(({ softwareVersion }) => softwareVersion)
    .filter((version) => version !== order.to);
  const ended = order.status?.state === 'completed' ? others : [order.to];
  return { ...running, shunned: bounded([...running.shunned, ...ended]) };
}

function bounded(versions: readonly string[]): readonly string[] {
  return [...new Set(versions)].slice(-MAX_SHUNNED);
}

function begin(
  state: State,
  order: canary.Order,
  before: Running | undefined,
  now: task.Instant,
): Step {
  const isUnfinished = before !== undefined && before.order.status?.state !== 'completed';
  const left = isUnfinished ? [...before.shunned, before.order.to] : (before?.shunned ?? []);
  const running: Running = {
    order,
    orderedAtMs: now.monotonicMs,
    step: 0,
    stepAtMs: now.monotonicMs,
    isBad: false,
    isRemoved: false,
    tests: {},
    toEvaluate: {},
    toTell: {},
    versions: before?.versions,
    heard: new Map(),
    writing: undefined,
    writeAfterMs: 0,
    progress: canaryState.NO_PROGRESS,
    shunned: bounded(left.filter((version) => version !== order.to)),
  };
  // The end of a release that was read at the start: its former versions are not known any more.
  const isEnded = !canaryState.isOpen(running);
  const shunned = order.status?.state === 'rolled_back' ? [order.to] : running.shunned;
  return {
    state: canaryState.withRelease(state, isEnded ? { ...running, shunned } : running),
    commands: [
      records.create('releaseOrdered', running, order.status?.state ?? 'new', now),
      ...(order.status?.state === 'running'
        ? [{ kind: 'read-progress' as const, name: order.name }]
        : []),
    ],
  };
}

/** Without its order, an unproven version gets no request for as long as its upstreams are there. */
function remove(state: State, name: string, now: task.Instant): Step {
  const known = state.releases.get(name);
  if (!known) return { state, commands: [] };
  const record = records.create('releaseEnded', known, 'order removed', now);
  const isProven = known.order.status?.state === 'completed' || known.step >= steps.COMPLETING_STEP;
  if (isProven) return { state: withoutRelease(state, name), commands: [record] };
  const removed: Running = { ...known, isRemoved: true };
  return { state: canaryState.withRelease(state, removed), commands: [record] };
}

export function withoutRelease(state: State, name: string): State {
  const releases = new Map(state.releases);
  releases.delete(name);
  return { ...state, releases };
}

/** Forgets removed orders whose version has no upstream any more. */
export function forget(state: State): State {
  const gone = [...state.releases.values()].filter(
    ({ isRemoved, order, versions }) =>
      isRemoved &&
      versions !== undefined &&
      versions.versions.every(({ softwareVersion }) => softwareVersion !== order.to),
  );
  return gone.reduce((left, { order }) => withoutRelease(left, order.name), state);
}
